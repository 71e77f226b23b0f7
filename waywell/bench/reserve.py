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


class Coin(Mixer):
    """Throws a coin each time."""

    def __init__(self, share: float, random: Random) -> None:
        """Keep the share."""
        self._share = share
        self._random = random

    def decide(self) -> bool:
        """Return the next answer."""
        return self._random.random() < self._share


class Balanced(Mixer):
    """Goes through a balanced sequence of the share."""

    def __init__(self, share: float, _random: Random) -> None:
        """Begin the sequence."""
        self._share = share
        self._place = 0

    def decide(self) -> bool:
        """Return the next answer."""
        self._place += 1
        before = math.floor((self._place - 1) * self._share)
        return math.floor(self._place * self._share) > before


@attrs.define
class Group:
    """The state of a group's slots and queue."""

    load: Workload
    """Rates."""

    queue: int = 0
    """Interactive requests that wait."""

    interactive: int = 0
    """Interactive requests that run."""

    deferrable: int = 0
    """Deferrable requests that run."""

    @property
    def free(self) -> int:
        """Return the free slots."""
        return self.load.slots - self.interactive - self.deferrable

    def begin_waiting(self) -> None:
        """Give free slots to interactive requests."""
        begun = min(self.free, self.queue)
        self.queue -= begun
        self.interactive += begun


class Policy(abc.ABC):
    """Decides how many deferrable requests to begin."""

    @abc.abstractmethod
    def begin(self, group: Group) -> None:
        """Begin deferrable requests in free slots."""


class FlowRate(Policy):
    """Begins one in each free slot, or not, as a mixer says."""

    def __init__(self, mixer: Mixer) -> None:
        """Keep the mixer."""
        self._mixer = mixer

    def begin(self, group: Group) -> None:
        """Ask the mixer once for each free slot."""
        for _ in range(group.free):
            group.deferrable += self._mixer.decide()


class Reserve(Policy):
    """Keeps one of two numbers of slots free, as a mixer says."""

    def __init__(self, mixer: Mixer, kept: int) -> None:
        """Keep the mixer and the higher of the two numbers."""
        self._mixer = mixer
        self._kept = kept

    def begin(self, group: Group) -> None:
        """Begin as many as leave the number free."""
        kept = self._kept - self._mixer.decide()
        group.deferrable += max(0, group.free - kept)


def run(load: Workload, policy: Policy, seed: int) -> tuple[float, float]:
    """Return the mean waiting and the deferrable throughput of a run."""
    random = Random(seed)
    group = Group(load)
    now = 0.0
    waited = 0.0
    ended = 0
    for _ in range(EVENTS):
        rates = (
            load.arrivals,
            group.interactive * load.interactive,
            group.deferrable * load.deferrable,
        )
        passed = random.expovariate(sum(rates))
        now += passed
        waited += group.queue * passed
        kind = random.choices((0, 1, 2), rates)[0]
        if kind == 0:
            group.queue += 1
        elif kind == 1:
            group.interactive -= 1
        else:
            group.deferrable -= 1
            ended += 1
        group.begin_waiting()
        if not group.queue:
            policy.begin(group)
    return waited / (load.arrivals * now), ended / now


def find_throughput(
    load: Workload,
    make_policy: Any,
    seed: int,
) -> tuple[float, float]:
    """Return share and throughput at which the waiting is the wanted one."""
    before = (0.0, 0.0, 0.0)
    for share in SHARES:
        waiting, throughput = run(load, make_policy(share, Random(seed)), seed)
        if waiting >= load.waiting and share:
            part = (load.waiting - before[1]) / (waiting - before[1])
            return (
                before[0] + part * (share - before[0]),
                before[2] + part * (throughput - before[2]),
            )
        before = (share, waiting, throughput)
    return before[0], before[2]


LOADS = (
    Workload('paper', 5, 1 / 2, 4 / 10, 3 / 10, 1 / 3),
    Workload('lookups', 16, 12, 2, 0.4, 0.02),
)
"""The paper's example, in minutes; lookups beside exports, in seconds."""


def find_reserve(load: Workload) -> int:
    """Return the least number of kept slots that keeps the waiting."""
    for kept in range(load.slots + 1):
        waiting, _ = run(load, Reserve(Coin(0, Random(1)), kept), 1)
        if waiting <= load.waiting:
            return kept
    return load.slots


def measure(load: Workload, seed: int) -> list[dict[str, Any]]:
    """Measure every way at the wanted waiting."""
    kept = find_reserve(load)
    ways = {
        'rate, coin': lambda share, random: FlowRate(Coin(share, random)),
        'rate, balanced': lambda share, random: FlowRate(
            Balanced(share, random),
        ),
        'reserve, coin': lambda share, random: Reserve(
            Coin(share, random),
            kept,
        ),
        'reserve, balanced': lambda share, random: Reserve(
            Balanced(share, random),
            kept,
        ),
    }
    waiting, throughput = run(load, Reserve(Coin(0, Random(1)), kept), seed)
    rows = [
        {
            'load': load.name,
            'seed': seed,
            'way': f'reserve of {kept}',
            'share': 0.0,
            'throughput': throughput,
            'waiting': waiting,
        },
    ]
    for way, make_policy in ways.items():
        share, found = find_throughput(load, make_policy, seed)
        rows.append(
            {
                'load': load.name,
                'seed': seed,
                'way': way,
                'share': share,
                'throughput': found,
                'waiting': load.waiting,
            },
        )
    return rows


def main() -> None:
    """Run the benchmark."""
    rows: list[dict[str, Any]] = []
    for load in LOADS:
        for seed in SEEDS:
            rows.extend(measure(load, seed))
    write_figures('reserve', rows)


if __name__ == '__main__':
    main()
