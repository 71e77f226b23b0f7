"""Slots kept for interactive work beside deferrable work: three ways.

A group has some slots.  Interactive requests arrive at random and wait
for a slot; deferrable ones are always at hand and are only begun where no
interactive one waits.  How many slots are kept free can be a fixed number,
a coin thrown between two numbers, or a balanced sequence between them.

The model and the balanced sequence (formula 6, "lower bracket sequences")
are those of S. Bhulai, T. Farenhorst-Yuan, B. Heidergott and D. van der
Laan, "Optimal balanced control for call centers", Annals of Operations
Research, 2012; its example checks the measurement.
"""

from __future__ import annotations

import abc
import math
from random import Random
from typing import Any

import attrs

from waywell.bench.figures import write_figures

EVENTS = 150_000
"""Events of one run."""

SHARES = tuple(share / 10 for share in range(11))
"""Shares of the higher rate of deferrable work that are tried."""

SEEDS = (1, 2)
"""Seeds of the runs."""


@attrs.frozen
class Workload:
    """Rates of a group's work, by one unit of time."""

    name: str
    """Name for the table."""

    slots: int
    """Requests that run at once."""

    arrivals: float
    """Interactive requests that arrive."""

    interactive: float
    """Interactive requests that one slot ends."""

    deferrable: float
    """Deferrable requests that one slot ends."""

    waiting: float
    """Mean waiting of interactive requests to compare at."""


class Mixer(abc.ABC):
    """Says yes with a share of the times that it is asked."""

    @abc.abstractmethod
    def decide(self) -> bool:
        """Return the next answer."""


class RandomMixer(Mixer):
    """Throws a coin each time."""

    def __init__(self, share: float, random: Random) -> None:
        """Keep the share."""
        self._share = share
        self._random = random

    def decide(self) -> bool:
        """Return the next answer."""
        return self._random.random() < self._share


class BalancedMixer(Mixer):
    """Goes through a balanced sequence of the share."""

    def __init__(self, share: float, _random: Random) -> None:
        """Begin the sequence."""
        self._share = share
        self._index = 0

    def decide(self) -> bool:
        """Return the next answer."""
        self._index += 1
        previous = math.floor((self._index - 1) * self._share)
        return math.floor(self._index * self._share) > previous


@attrs.define
class Group:
    """The state of a group's slots and queue."""

    workload: Workload
    """Rates."""

    queue: int = 0
    """Interactive requests that wait."""

    interactive: int = 0
    """Interactive requests that run."""

    deferrable: int = 0
    """Deferrable requests that run."""

    @property
    def free_slots(self) -> int:
        """Return the free slots."""
        return self.workload.slots - self.interactive - self.deferrable

    def start_queued(self) -> None:
        """Give free slots to interactive requests."""
        begun = min(self.free_slots, self.queue)
        self.queue -= begun
        self.interactive += begun


class Policy(abc.ABC):
    """Decides how many deferrable requests to begin."""

    @abc.abstractmethod
    def start_deferrable(self, group: Group) -> None:
        """Begin deferrable requests in free slots."""


class RatePolicy(Policy):
    """Begins one in each free slot, or not, as a mixer says."""

    def __init__(self, mixer: Mixer) -> None:
        """Keep the mixer."""
        self._mixer = mixer

    def start_deferrable(self, group: Group) -> None:
        """Ask the mixer once for each free slot."""
        for _ in range(group.free_slots):
            group.deferrable += self._mixer.decide()


class ReservePolicy(Policy):
    """Keeps one of two numbers of slots free, as a mixer says."""

    def __init__(self, mixer: Mixer, reserved_slots: int) -> None:
        """Keep the mixer and the higher of the two numbers."""
        self._mixer = mixer
        self._reserved_slots = reserved_slots

    def start_deferrable(self, group: Group) -> None:
        """Begin as many as leave the number free."""
        reserved_slots = self._reserved_slots - self._mixer.decide()
        group.deferrable += max(0, group.free_slots - reserved_slots)


def simulate(
    workload: Workload, policy: Policy, seed: int
) -> tuple[float, float]:
    """Return the mean waiting and the deferrable throughput of a run."""
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
    """Return share and throughput at which the waiting is the wanted one."""
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
"""The paper's example, in minutes; lookups beside exports, in seconds."""


def find_reserve(workload: Workload) -> int:
    """Return the least number of kept slots that keeps the waiting."""
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
    """Measure every way at the wanted waiting."""
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
    for name, make_policy in policies.items():
        share, throughput_found = find_throughput(workload, make_policy, seed)
        rows.append(
            {
                'load': workload.name,
                'seed': seed,
                'way': name,
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
