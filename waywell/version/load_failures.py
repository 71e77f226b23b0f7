"""Which models crash the boxes that load them, and when they may be loaded.

One box that ends while it loads tells nothing of the weights.  Two in a row,
in different domains or at different moments and with no load between them
that succeeded, may: the model is then loaded by one box or group at a time,
after a back-off that doubles with each crash and ends with a success.
"""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

import attrs

from waywell.ids import DomainName, ModelName, ServiceName
from waywell.version.fleet import BoxLife, MemberState, parse_group_model

if TYPE_CHECKING:
    from collections.abc import Container

    from waywell.version.fleet import Fleet, FleetBox

CRASH_LIMIT = 2
"""Crashes in a row from which on a model's loads are limited."""

SAME_LOSS_SECONDS = 1.0
"""Seconds within which the ends of boxes of one domain count as one: a domain
that is lost ends all of its boxes, whatever they load."""

FIRST_BACKOFF = 5.0
"""Seconds without a load after the crash that reaches the limit."""

LONGEST_BACKOFF = 600.0
"""Seconds without a load after the latest crash, at the most."""

SHORTEST_BOUND = 60.0
"""Seconds after which a load that shows no outcome is forgotten, at the
least: the deployment may not tell how long loads take."""


class LoadKind(enum.Enum):
    """How a box is made to load a model."""

    STAGE = 'stage'
    """Into its host's memory, beside all else."""

    JOIN = 'join'
    """To serve it, as a member of a group."""


@attrs.frozen
class LoadAttempt:
    """A load that was ordered and shows no outcome yet."""

    model: ModelName
    """The model."""

    kind: LoadKind
    """How it is loaded."""

    domain: DomainName
    """Fabric domain of the box."""

    begun_at: float
    """When it was ordered, in seconds."""


@attrs.frozen
class LoadBackoff:
    """A back-off that has begun, for logs."""

    model: ModelName
    """The model."""

    kind: LoadKind
    """How it is loaded."""

    crashes: int
    """Crashes in a row."""

    seconds: float
    """Length of the back-off, in seconds."""


@attrs.define
class _CrashCount:
    """Crashes of the loads of one model, since the last that succeeded."""

    crashes: int = 0
    last_at: float = -math.inf
    last_domain: DomainName | None = None
    waits_until: float = -math.inf

    def is_limited(self) -> bool:
        return self.crashes >= CRASH_LIMIT

    def is_same_loss(self, domain: DomainName, now: float) -> bool:
        is_near = now - self.last_at < SAME_LOSS_SECONDS
        return is_near and domain == self.last_domain


@attrs.define
class LoadFailures:
    """Counts the loads that ended boxes, by model."""

    _attempts: dict[BoxLife, LoadAttempt] = attrs.Factory(dict)
    _counts: dict[tuple[ModelName, LoadKind], _CrashCount] = attrs.Factory(
        dict
    )
    _now: float = -math.inf
    _begun: list[LoadBackoff] = attrs.Factory(list)

    def note_begun(
        self,
        box: FleetBox,
        model: ModelName,
        kind: LoadKind,
        now: float,
    ) -> None:
        """Remember that a box was ordered to load a model."""
        self._attempts[box.life] = LoadAttempt(model, kind, box.domain, now)

    def forget(self, life: BoxLife) -> None:
        """Forget a load that was not begun, or was called off."""
        self._attempts.pop(life, None)

    def forget_attempts(self) -> None:
        """Forget all loads under way: their ends may have been missed."""
        self._attempts.clear()

    def update(
        self,
        fleet: Fleet,
        silent: Container[BoxLife],
        longest: float,
        now: float,
    ) -> None:
        """Apply a box list: count loads that ended their boxes.

        Parameters
        ----------
        fleet
            The boxes that give signs of life.
        silent
            Boxes that are listed and gave no sign of life when asked.
        longest
            Seconds that a load may take.
        now
            The present time, in seconds.
        """
        self._now = now
        earliest = now - max(SHORTEST_BOUND, longest)
        for life, attempt in tuple(self._attempts.items()):
            box = fleet.find_life(life)
            if attempt.begun_at < earliest:
                self._attempts.pop(life)
            elif box is not None:
                self._compare(box, attempt)
            elif life not in silent:
                self._attempts.pop(life)
                self._count_crash(attempt, now)

    def may_load(self, model: ModelName) -> bool:
        """Return whether a box or group may begin to load a model now."""
        if not self.is_limited(model):
            return True
        waits_until = max(
            count.waits_until
            for (name, _kind), count in self._counts.items()
            if name == model
        )
        is_loading = any(
            attempt.model == model for attempt in self._attempts.values()
        )
        return self._now >= waits_until and not is_loading

    def is_limited(self, model: ModelName) -> bool:
        """Return whether loads of a model have crashed too often in a row."""
        return any(
            count.is_limited()
            for (name, _kind), count in self._counts.items()
            if name == model
        )

    def list_limited(self) -> dict[ModelName, int]:
        """Return the models whose loads are limited, with their crashes."""
        crashes: dict[ModelName, int] = {}
        for (name, _kind), count in self._counts.items():
            if count.is_limited():
                crashes[name] = max(count.crashes, crashes.get(name, 0))
        return crashes

    def pop_backoffs(self) -> list[LoadBackoff]:
        """Return the back-offs that have begun since the last call."""
        begun = self._begun
        self._begun = []
        return begun

    def _compare(self, box: FleetBox, attempt: LoadAttempt) -> None:
        """Forget a load that succeeded, or whose box is to go."""
        has_succeeded = _has_succeeded(box, attempt)
        if has_succeeded:
            self._counts.pop((attempt.model, attempt.kind), None)
        if has_succeeded or box.leaving:
            self._attempts.pop(box.life)

    def _count_crash(self, attempt: LoadAttempt, now: float) -> None:
        count = self._counts.setdefault(
            (attempt.model, attempt.kind), _CrashCount()
        )
        is_same = count.is_same_loss(attempt.domain, now)
        count.last_at = now
        count.last_domain = attempt.domain
        if is_same:
            return
        count.crashes += 1
        if not count.is_limited():
            return
        doublings = count.crashes - CRASH_LIMIT
        seconds = min(LONGEST_BACKOFF, math.ldexp(FIRST_BACKOFF, doublings))
        count.waits_until = now + seconds
        self._begun.append(
            LoadBackoff(attempt.model, attempt.kind, count.crashes, seconds)
        )


def _has_succeeded(box: FleetBox, attempt: LoadAttempt) -> bool:
    """Return whether a box shows the model that it was ordered to load."""
    if attempt.kind is LoadKind.STAGE:
        return attempt.model in box.staged
    standing = box.standing
    if standing is None or parse_group_model(standing.group) != attempt.model:
        return False
    return standing.state not in {MemberState.JOINING, MemberState.BROKEN}


class LoadHistory:
    """Keeps what loads of each service showed, for all terms of a holder."""

    def __init__(self) -> None:
        """Know no service yet."""
        self._failures: dict[ServiceName, LoadFailures] = {}

    def get(self, service: ServiceName) -> LoadFailures:
        """Return what the loads of a service showed."""
        return self._failures.setdefault(service, LoadFailures())

    def forget_attempts(self) -> None:
        """Forget all loads under way."""
        for failures in self._failures.values():
            failures.forget_attempts()

    def count(self) -> dict[str, float]:
        """Return the models whose loads are limited, with their crashes."""
        return {
            f'{service}/{model}': float(crashes)
            for service, failures in self._failures.items()
            for model, crashes in failures.list_limited().items()
        }
