"""Choice of the replica group for a request."""

from __future__ import annotations

import enum
import hashlib
from typing import TYPE_CHECKING

import msgspec

from waywell.version.roster import Group

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from random import Random

    from waywell.ids import GroupId, SessionId

LOAD_BOUND = 1.5
"""A session leaves its group when it has this much above the mean load."""

LEAST_WEIGHT = 0.01
"""Weight below which a group's cost rises no more."""

LOAD_SLACK = 4.0
"""Requests in flight above the bound that never move a session."""


class Reason(enum.Enum):
    """Why a group was chosen."""

    SESSION = 'session'
    """It is the session's own group."""

    MOVED_DOWN = 'moved_down'
    """The session's own group can't serve."""

    MOVED_LOAD = 'moved_load'
    """The session's own group has too much load."""

    LESS_LOADED = 'less_loaded'
    """It is the less loaded of two."""


class GroupLoad(msgspec.Struct, frozen=True):
    """What a node knows of the load of one group."""

    in_flight: float = 0.0
    """Requests in flight, own ones and the others' last reported."""

    slowness: float = 1.0
    """Its time to the first byte against the typical one, at least 1."""

    weight: float = 1.0
    """Share of full load that it may get, from 0 to 1."""

    @property
    def cost(self) -> float:
        """Return what a further request would cost there."""
        return (
            (self.in_flight + 1)
            * self.slowness
            / max(self.weight, LEAST_WEIGHT)
        )


class Choice(msgspec.Struct, frozen=True):
    """A chosen group and why."""

    group: Group
    """Where the request goes."""

    reason: Reason
    """Why."""


NO_LOAD = GroupLoad()
"""A group of which nothing is known."""


def score_session(session: str, group: GroupId) -> int:
    """Return the rendezvous score of a session at a group."""
    digest = hashlib.blake2b(f'{session}\n{group}'.encode(), digest_size=8)
    return int.from_bytes(digest.digest())


def choose_for_session(
    session: SessionId,
    groups: Sequence[Group],
    usable: Sequence[Group],
    loads: Mapping[GroupId, GroupLoad],
) -> Choice | None:
    """Return the group of a session.

    Every entry box finds the same group, as the score depends on nothing
    else than the two names; a returning group takes back only the
    sessions that are its own.

    Parameters
    ----------
    session
        Session, with its account.
    groups
        Groups that the rules admit.
    usable
        Those of them that can serve now.
    loads
        What is known of their loads.
    """
    if not usable:
        return None
    ranked = sorted(
        usable,
        key=lambda group: score_session(session, group.group),
        reverse=True,
    )
    bound = _find_bound(usable, loads)
    for group in ranked:
        if loads.get(group.group, NO_LOAD).cost <= bound:
            reason = _explain_session(session, group, groups, usable)
            return Choice(group, reason)
    reason = _explain_session(session, ranked[0], groups, usable)
    return Choice(ranked[0], reason)


def choose_less_loaded(
    usable: Sequence[Group],
    loads: Mapping[GroupId, GroupLoad],
    random: Random,
) -> Choice | None:
    """Return the less loaded of two groups drawn at random."""
    if not usable:
        return None
    drawn = random.sample(usable, min(2, len(usable)))
    best = min(
        drawn,
        key=lambda group: loads.get(group.group, NO_LOAD).cost,
    )
    return Choice(best, Reason.LESS_LOADED)


def _find_bound(
    usable: Sequence[Group],
    loads: Mapping[GroupId, GroupLoad],
) -> float:
    total = sum(loads.get(group.group, NO_LOAD).cost for group in usable)
    return LOAD_BOUND * total / len(usable) + LOAD_SLACK


def _explain_session(
    session: SessionId,
    chosen: Group,
    groups: Sequence[Group],
    usable: Sequence[Group],
) -> Reason:
    own = max(groups, key=lambda group: score_session(session, group.group))
    if own.group == chosen.group:
        return Reason.SESSION
    return Reason.MOVED_LOAD if own in usable else Reason.MOVED_DOWN
