"""Counters of how requests ended, and the measures computed from them."""

from __future__ import annotations

import enum
import math
from collections import Counter
from collections.abc import Mapping

import attrs

from waywell.experiment.load_file import KindSettings


class Ending(enum.Enum):
    """How a request ended."""

    IN_AIM = 'in_aim'
    """Answered completely, within the goals of its kind."""

    LATE = 'late'
    """Answered completely, but a goal was missed."""

    REFUSED = 'refused'
    """Refused until its caller gave up."""

    BROKEN = 'broken'
    """Answer begun but broken off."""

    EXPIRED = 'expired'
    """Not completely answered before its timeout."""


SERVED = frozenset((Ending.IN_AIM, Ending.LATE))
"""Endings with a complete answer."""


@attrs.frozen
class KindTally:
    """Counters for the requests of one kind."""

    kind: KindSettings
    """Settings of the kind, with the worth of its answers."""

    counts: Counter[Ending] = attrs.Factory(Counter)
    """Number of requests by ending."""

    @property
    def requests(self) -> int:
        """Return the number of requests that have ended."""
        return self.counts.total()

    @property
    def possible(self) -> float:
        """Return the worth if all requests had met their goals."""
        return self.requests * self.kind.worth

    @property
    def worth(self) -> float:
        """Return the worth of all complete answers."""
        in_aim = self.counts[Ending.IN_AIM] * self.kind.worth
        return in_aim + self.counts[Ending.LATE] * self.kind.late_worth

    def get_lost_worth(self, ending: Ending) -> float:
        """Return the worth lost by requests with an ending."""
        if ending is Ending.IN_AIM:
            return 0.0
        kept = self.kind.late_worth if ending is Ending.LATE else 0.0
        return self.counts[ending] * (self.kind.worth - kept)


class Tally:
    """Counts endings, refusals and resends.

    Parameters
    ----------
    kinds
        Kinds of requests to count separately.
    """

    def __init__(self, kinds: list[KindSettings]) -> None:
        """Start with all counters at 0."""
        self.kinds = {kind.name: KindTally(kind) for kind in kinds}
        self.refusals = 0
        self.resends = 0

    @property
    def requests(self) -> int:
        """Return the number of requests that have ended."""
        return sum(kind.requests for kind in self.kinds.values())

    def record_ending(self, kind: KindSettings, ending: Ending) -> None:
        """Count a request that has ended."""
        self.kinds[kind.name].counts[ending] += 1

    def count(self, ending: Ending) -> int:
        """Return the number of requests with an ending."""
        return sum(kind.counts[ending] for kind in self.kinds.values())

    def summarise(self) -> Summary:
        """Return the results of the simulation."""
        kinds = self.kinds.values()
        possible = math.fsum(kind.possible for kind in kinds)
        return Summary(
            requests=self.requests,
            possible=possible,
            worth=math.fsum(kind.worth for kind in kinds),
            endings={ending.value: self.count(ending) for ending in Ending},
            prices={
                ending.value: math.fsum(
                    kind.get_lost_worth(ending) for kind in kinds
                )
                for ending in Ending
                if ending is not Ending.IN_AIM
            },
            in_aim_by_kind={
                name: tally.counts[Ending.IN_AIM] / max(1, tally.requests)
                for name, tally in self.kinds.items()
            },
            refusals=self.refusals,
            resends=self.resends,
        )


@attrs.frozen
class Summary:
    """Results of one simulation."""

    requests: int
    """Number of requests; one whose caller returns counts once."""

    possible: float
    """Worth if all requests had met their goals."""

    worth: float
    """Worth of all complete answers."""

    endings: Mapping[str, int]
    """Number of requests by ending."""

    prices: Mapping[str, float]
    """Lost worth by ending."""

    in_aim_by_kind: Mapping[str, float]
    """Fraction of the requests of each kind that met their goals."""

    refusals: int
    """Number of refusals, including those of requests answered later."""

    resends: int
    """Number of attempts that were charged to the resend budget."""

    @property
    def share(self) -> float:
        """Return the achieved worth as a fraction of the possible worth."""
        return self.worth / self.possible if self.possible else 1.0

    @property
    def served(self) -> float:
        """Return the fraction of the requests with a complete answer."""
        served = sum(self.endings[ending.value] for ending in SERVED)
        return served / self.requests if self.requests else 1.0

    @property
    def worst_kind(self) -> float:
        """Return the lowest fraction by kind of requests within goals."""
        return min(self.in_aim_by_kind.values())
