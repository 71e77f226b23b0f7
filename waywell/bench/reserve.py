"""Three ways to reserve slots for interactive requests.

A group has a number of slots.  Interactive requests arrive at random and wait
for a slot; deferrable requests are always available and start only while no
interactive request waits.  The number of reserved slots is constant, chosen
at random between two numbers, or given by a balanced sequence of the two.

The model and the balanced sequence (formula 6, "lower bracket sequences")
are those of S. Bhulai, T. Farenhorst-Yuan, B. Heidergott and D. van der
Laan, "Optimal balanced control for call centers", Annals of Operations
Research, 2012.  The example of the paper serves to check the measurement.
"""

from __future__ import annotations

import abc
import math
from random import Random
from typing import Any

import attrs

from waywell.bench.figures import write_figures

EVENTS = 150_000
"""Number of events in one simulation."""

SHARES = tuple(share / 10 for share in range(11))
"""Shares that are tried of the decisions that start more deferrable work."""

SEEDS = (1, 2)
"""Seeds of the simulations."""


@attrs.frozen
class Workload:
    """Rates of a group's work per unit of time."""

    name: str
    """Name in the table of results."""

    slots: int
    """Number of requests that the group runs at once."""

    arrivals: float
    """Arrival rate of interactive requests."""

    interactive: float
    """Completion rate of an interactive request in a slot."""

    deferrable: float
    """Completion rate of a deferrable request in a slot."""

    waiting: float
    """Mean waiting time of interactive requests at which the ways are
    compared."""


class Mixer(abc.ABC):
    """Makes yes-or-no decisions, a given share of which are yes."""

    @abc.abstractmethod
    def decide(self) -> bool:
        """Return the next decision."""


class RandomMixer(Mixer):
    """Decides independently at random."""

    def __init__(self, share: float, random: Random) -> None:
        """Set the share of positive decisions."""
        self._share = share
        self._random = random

    def decide(self) -> bool:
        """Return the next decision."""
        return self._random.random() < self._share


class BalancedMixer(Mixer):
    """Decides by a balanced sequence, which spaces yes evenly."""

    def __init__(self, share: float, _random: Random) -> None:
        """Start the sequence for a share of positive decisions."""
        self._share = share
        self._index = 0

    def decide(self) -> bool:
        """Return the next decision."""
        self._index += 1
        previous = math.floor((self._index - 1) * self._share)
        return math.floor(self._index * self._share) > previous


@attrs.define
class Group:
    """State of a group's slots and queue."""

    workload: Workload
    """Rates, and number of slots."""

    queue: int = 0
    """Number of interactive requests that wait."""

    interactive: int = 0
    """Number of interactive requests that run."""

    deferrable: int = 0
    """Number of deferrable requests that run."""

    @property
    def free_slots(self) -> int:
        """Return the number of free slots."""
        return self.workload.slots - self.interactive - self.deferrable

    def start_queued(self) -> None:
        """Start queued interactive requests in free slots."""
        started = min(self.free_slots, self.queue)
        self.queue -= started
        self.interactive += started


class Policy(abc.ABC):
    """Decides how many deferrable requests to start."""

    @abc.abstractmethod
    def start_deferrable(self, group: Group) -> None:
        """Start deferrable requests in free slots."""


class RatePolicy(Policy):
    """Starts a request in each free slot for which the mixer decides yes."""

    def __init__(self, mixer: Mixer) -> None:
        """Set the mixer."""
        self._mixer = mixer

    def start_deferrable(self, group: Group) -> None:
        """Consult the mixer once for each free slot."""
        for _ in range(group.free_slots):
            group.deferrable += self._mixer.decide()


class ReservePolicy(Policy):
    """Reserves one of two numbers of slots, which a mixer selects."""

    def __init__(self, mixer: Mixer, reserved_slots: int) -> None:
        """Set the mixer and the higher of the two numbers."""
        self._mixer = mixer
        self._reserved_slots = reserved_slots

    def start_deferrable(self, group: Group) -> None:
        """Start as many requests as leave the reserved slots free."""
        reserved_slots = self._reserved_slots - self._mixer.decide()
        group.deferrable += max(0, group.free_slots - reserved_slots)


def simulate(
    workload: Workload, policy: Policy, seed: int
) -> tuple[float, float]:
    """Return the mean waiting time and the deferrable throughput."""
    random = Random(seed)
    group = Group(workload)
    now = 0.0
    total_waiting = 0.0
    ended = 0
    for _ in range(EVENTS):
        rates = (
            workload.arrivals,
            group.interactive * workload.interactive,
            group.deferrable * workload.deferrable,
        )
        elapsed = random.expovariate(sum(rates))
        now += elapsed
        total_waiting += group.queue * elapsed
        kind = random.choices((0, 1, 2), rates)[0]
        if kind == 0:
            group.queue += 1
        elif kind == 1:
            group.interactive -= 1
        else:
            group.deferrable -= 1
            ended += 1
        group.start_queued()
        if not group.queue:
            policy.start_deferrable(group)
    return total_waiting / (workload.arrivals * now), ended / now


def find_throughput(
    workload: Workload,
    make_policy: Any,
    seed: int,
) -> tuple[float, float]:
    """Return the share and throughput at the workload's waiting time.

    The result is interpolated between two of ``SHARES``.
    """
    previous = (0.0, 0.0, 0.0)
    for share in SHARES:
        waiting, throughput = simulate(
            workload, make_policy(share, Random(seed)), seed
        )
        if waiting >= workload.waiting and share:
            fraction = (workload.waiting - previous[1]) / (
                waiting - previous[1]
            )
            return (
                previous[0] + fraction * (share - previous[0]),
                previous[2] + fraction * (throughput - previous[2]),
            )
        previous = (share, waiting, throughput)
    return previous[0], previous[2]


WORKLOADS = (
    Workload('paper', 5, 1 / 2, 4 / 10, 3 / 10, 1 / 3),
    Workload('lookups', 16, 12, 2, 0.4, 0.02),
)
"""The example of the paper, in minutes, and lookups beside exports, in
seconds."""


def find_reserve(workload: Workload) -> int:
    """Return the fewest reserved slots that meet the waiting time."""
    for reserved_slots in range(workload.slots + 1):
        waiting, _ = simulate(
            workload,
            ReservePolicy(RandomMixer(0, Random(1)), reserved_slots),
            1,
        )
        if waiting <= workload.waiting:
            return reserved_slots
    return workload.slots


def measure(workload: Workload, seed: int) -> list[dict[str, Any]]:
    """Measure each way at the waiting time of the workload."""
    reserved_slots = find_reserve(workload)
    policies = {
        'rate, coin': lambda share, random: RatePolicy(
            RandomMixer(share, random)
        ),
        'rate, balanced': lambda share, random: RatePolicy(
            BalancedMixer(share, random),
        ),
        'reserve, coin': lambda share, random: ReservePolicy(
            RandomMixer(share, random),
            reserved_slots,
        ),
        'reserve, balanced': lambda share, random: ReservePolicy(
            BalancedMixer(share, random),
            reserved_slots,
        ),
    }
    waiting, throughput = simulate(
        workload,
        ReservePolicy(RandomMixer(0, Random(1)), reserved_slots),
        seed,
    )
    rows = [
        {
            'load': workload.name,
            'seed': seed,
            'way': f'reserve of {reserved_slots}',
            'share': 0.0,
            'throughput': throughput,
            'waiting': waiting,
        },
    ]
    for policy_name, make_policy in policies.items():
        share, throughput_found = find_throughput(workload, make_policy, seed)
        rows.append(
            {
                'load': workload.name,
                'seed': seed,
                'way': policy_name,
                'share': share,
                'throughput': throughput_found,
                'waiting': workload.waiting,
            },
        )
    return rows


def main() -> None:
    """Run the benchmark."""
    rows: list[dict[str, Any]] = []
    for workload in WORKLOADS:
        for seed in SEEDS:
            rows.extend(measure(workload, seed))
    write_figures('reserve', rows)


if __name__ == '__main__':
    main()
