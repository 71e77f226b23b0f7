"""How requests ended, counted by the users' measures."""

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
    """Answered whole, its first event and pauses in aim."""

    LATE = 'late'
    """Answered whole, after its aim."""

    REFUSED = 'refused'
    """Refused, and its caller gave up."""

    BROKEN = 'broken'
    """Begun, and broken off."""

    EXPIRED = 'expired'
    """Not answered while its caller waited."""


SERVED = frozenset((Ending.IN_AIM, Ending.LATE))
"""Endings with a whole answer."""


@attrs.frozen
class KindTally:
    """Requests of one kind by their ending."""

    kind: KindSettings
    """The kind."""

    counts: Counter[Ending] = attrs.Factory(Counter)
    """Requests by ending."""

    @property
    def requests(self) -> int:
        """Return all requests."""
        return self.counts.total()

    @property
    def possible(self) -> float:
        """Return the worth if all were in aim."""
        return self.requests * self.kind.worth

    @property
    def worth(self) -> float:
        """Return the worth of what was answered."""
        in_aim = self.counts[Ending.IN_AIM] * self.kind.worth
        return in_aim + self.counts[Ending.LATE] * self.kind.late_worth

    def get_lost_worth(self, ending: Ending) -> float:
        """Return the worth that was lost by an ending."""
        if ending is Ending.IN_AIM:
            return 0.0
        kept = self.kind.late_worth if ending is Ending.LATE else 0.0
        return self.counts[ending] * (self.kind.worth - kept)


class Tally:
    """Counts endings.

    Parameters
    ----------
    kinds
        Kinds of requests.
    """

    def __init__(self, kinds: list[KindSettings]) -> None:
        """Start without requests."""
        self.kinds = {kind.name: KindTally(kind) for kind in kinds}
        self.refusals = 0
        self.resends = 0

    @property
    def requests(self) -> int:
        """Return the requests that have ended."""
        return sum(kind.requests for kind in self.kinds.values())

    def add(self, kind: KindSettings, ending: Ending) -> None:
        """Count a request."""
        self.kinds[kind.name].counts[ending] += 1

    def count(self, ending: Ending) -> int:
        """Return the requests of an ending."""
        return sum(kind.counts[ending] for kind in self.kinds.values())

    def summarise(self) -> Summary:
        """Return the figures of a played model."""
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
    """Figures of one played model."""

    requests: int
    """Requests of callers; one that comes back counts once."""

    possible: float
    """Worth if all had been in aim."""

    worth: float
    """Worth of what was answered."""

    endings: Mapping[str, int]
    """Requests by ending."""

    prices: Mapping[str, float]
    """Worth lost by each ending."""

    in_aim_by_kind: Mapping[str, float]
    """Part of each kind that was in aim."""

    refusals: int
    """Refusals, also of requests that were answered later."""

    resends: int
    """Second sends."""

    @property
    def share(self) -> float:
        """Return the part of the possible worth that was reached."""
        return self.worth / self.possible if self.possible else 1.0

    @property
    def served(self) -> float:
        """Return the part of the requests with a whole answer."""
        served = sum(self.endings[ending.value] for ending in SERVED)
        return served / self.requests if self.requests else 1.0

    @property
    def worst_kind(self) -> float:
        """Return the part in aim of the kind that has least."""
        return min(self.in_aim_by_kind.values())
