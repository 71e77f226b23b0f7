"""Detection of models whose loads crash boxes, and back-off of such loads.

A single box that ends while it loads says nothing about the weights. Two in a
row may: in different domains or at different moments, with no successful load
between them. The model is then loaded by one box or group at a time, after a
back-off that doubles with each crash and ends with a success.
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
"""Consecutive crashes from which on a model's loads are limited."""

DOMAIN_LOSS_SECONDS = 1.0
"""Time within which crashes of boxes of one domain count as one: the loss of a
domain ends all of its boxes, whatever they load."""

FIRST_BACKOFF = 5.0
"""Seconds without a load after the crash that reaches the limit."""

MAX_BACKOFF = 600.0
"""Longest time without a load after the latest crash, in seconds."""

MIN_LOAD_TIMEOUT = 60.0
"""Shortest time after which a load without an outcome is forgotten, in
seconds: the deployment may not state how long loads take."""


class LoadKind(enum.Enum):
    """Way in which a box loads a model."""

    STAGE = 'stage'
    """Into its host's memory, beside its other work."""

    JOIN = 'join'
    """To serve it as a member of a group."""


@attrs.frozen
class LoadAttempt:
    """A load that was ordered and has no known outcome yet."""

    model: ModelName
    """Model whose weights are loaded."""

    kind: LoadKind
    """Way in which it is loaded."""

    domain: DomainName
    """Fabric domain of the box."""

    begun_at: float
    """When the load was ordered, in seconds."""


@attrs.frozen
class LoadBackoff:
    """A back-off that has begun, for logs."""

    model: ModelName
    """Model whose loads back off."""

    kind: LoadKind
    """Way in which the crashed load was made."""

    crashes: int
    """Consecutive crashes so far."""

    seconds: float
    """Length of the back-off, in seconds."""


@attrs.define
class _CrashCount:
    """Crashes of the loads of one model since the last success."""

    crashes: int = 0
    last_at: float = -math.inf
    last_domain: DomainName | None = None
    backoff_until: float = -math.inf

    def is_limited(self) -> bool:
        return self.crashes >= CRASH_LIMIT

    def is_same_domain_loss(self, domain: DomainName, now: float) -> bool:
        is_recent = now - self.last_at < DOMAIN_LOSS_SECONDS
        return is_recent and domain == self.last_domain


@attrs.define
class LoadFailures:
    """Counts the loads during which boxes ended, by model."""

    _attempts: dict[BoxLife, LoadAttempt] = attrs.Factory(dict)
    _counts: dict[tuple[ModelName, LoadKind], _CrashCount] = attrs.Factory(
        dict
    )
    _now: float = -math.inf
    _new_backoffs: list[LoadBackoff] = attrs.Factory(list)

    def record_start(
        self,
        box: FleetBox,
        model: ModelName,
        kind: LoadKind,
        now: float,
    ) -> None:
        """Record that a box was ordered to load a model."""
        self._attempts[box.life] = LoadAttempt(model, kind, box.domain, now)

    def forget(self, life: BoxLife) -> None:
        """Forget a load that was not begun or was cancelled."""
        self._attempts.pop(life, None)

    def forget_attempts(self) -> None:
        """Forget all pending loads, whose outcomes may have been missed."""
        self._attempts.clear()

    def update(
        self,
        fleet: Fleet,
        silent: Container[BoxLife],
        longest: float,
        now: float,
    ) -> None:
        """Apply a box list: count the loads that ended their boxes.

        Parameters
        ----------
        fleet
            Boxes that are not known to be lost.
        silent
            Boxes that are listed but did not answer when asked.
        longest
            Longest time that a load may take, in seconds.
        now
            Current time, in seconds.
        """
        self._now = now
        earliest = now - max(MIN_LOAD_TIMEOUT, longest)
        for life, attempt in tuple(self._attempts.items()):
            box = fleet.find_life(life)
            if attempt.begun_at < earliest:
                self._attempts.pop(life)
            elif box is not None:
                self._resolve(box, attempt)
            elif life not in silent:
                self._attempts.pop(life)
                self._count_crash(attempt, now)

    def may_load(self, model: ModelName) -> bool:
        """Return whether a box or group may begin to load a model now."""
        if not self.is_limited(model):
            return True
        backoff_until = max(
            count.backoff_until
            for (name, _kind), count in self._counts.items()
            if name == model
        )
        is_loading = any(
            attempt.model == model for attempt in self._attempts.values()
        )
        return self._now >= backoff_until and not is_loading

    def is_limited(self, model: ModelName) -> bool:
        """Return whether too many loads of a model in a row have crashed."""
        return any(
            count.is_limited()
            for (name, _kind), count in self._counts.items()
            if name == model
        )

    def list_limited(self) -> dict[ModelName, int]:
        """Return the models whose loads are limited, with crash counts."""
        crashes: dict[ModelName, int] = {}
        for (name, _kind), count in self._counts.items():
            if count.is_limited():
                crashes[name] = max(count.crashes, crashes.get(name, 0))
        return crashes

    def pop_backoffs(self) -> list[LoadBackoff]:
        """Return the back-offs that have begun since the last call."""
        backoffs = self._new_backoffs
        self._new_backoffs = []
        return backoffs

    def _resolve(self, box: FleetBox, attempt: LoadAttempt) -> None:
        """Forget a load that succeeded, or whose box is leaving."""
        has_succeeded = _has_succeeded(box, attempt)
        if has_succeeded:
            self._counts.pop((attempt.model, attempt.kind), None)
        if has_succeeded or box.leaving:
            self._attempts.pop(box.life)

    def _count_crash(self, attempt: LoadAttempt, now: float) -> None:
        count = self._counts.setdefault(
            (attempt.model, attempt.kind), _CrashCount()
        )
        is_already_counted = count.is_same_domain_loss(attempt.domain, now)
        count.last_at = now
        count.last_domain = attempt.domain
        if is_already_counted:
            return
        count.crashes += 1
        if not count.is_limited():
            return
        doublings = count.crashes - CRASH_LIMIT
        seconds = min(MAX_BACKOFF, math.ldexp(FIRST_BACKOFF, doublings))
        count.backoff_until = now + seconds
        self._new_backoffs.append(
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
    """Keeps the load failures of each service across a holder's terms."""

    def __init__(self) -> None:
        """Start without any service."""
        self._failures: dict[ServiceName, LoadFailures] = {}

    def get(self, service: ServiceName) -> LoadFailures:
        """Return the load failures of a service."""
        return self._failures.setdefault(service, LoadFailures())

    def forget_attempts(self) -> None:
        """Forget all pending loads."""
        for failures in self._failures.values():
            failures.forget_attempts()

    def count_crashes(self) -> dict[str, float]:
        """Return the crash counts of limited models, by ``service/model``."""
        return {
            f'{service}/{model}': float(crashes)
            for service, failures in self._failures.items()
            for model, crashes in failures.list_limited().items()
        }
