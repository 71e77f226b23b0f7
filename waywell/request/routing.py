"""Choice of the replica group for a request."""

from __future__ import annotations

import abc
import enum
import hashlib
import heapq
from functools import lru_cache
from typing import TYPE_CHECKING

import msgspec

from waywell.version.roster import Group

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random

    from waywell.ids import GroupId, SessionId

LOAD_BOUND = 1.5
"""A session leaves its group when it has this much above the mean load."""

GROUPS_DRAWN = 4
"""Groups drawn at random to find two that can serve."""

GROUPS_HASHED = 4096
"""Hashes of groups that are kept."""

MIX_FACTOR = 0x9E3779B97F4A7C15
"""Odd factor that spreads the bits of a hash."""

MIX_MASK = 0xFFFFFFFFFFFFFFFF
"""Keeps 64 bits."""

MIX_SHIFT = 32
"""Brings high bits down between two factors."""

LEAST_WEIGHT = 0.01
"""Weight below which a group's cost rises no more."""

LOAD_SLACK = 4.0
"""Requests in flight above the bound that never move a session."""


class ChoiceReason(enum.Enum):
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


class LoadSource(abc.ABC):
    """Tells the loads of groups."""

    @abc.abstractmethod
    def get_load(self, group: GroupId) -> GroupLoad:
        """Return the load of a group."""

    @abc.abstractmethod
    def get_average_cost(self) -> float:
        """Return the mean cost over the groups to choose from."""


class Choice(msgspec.Struct, frozen=True):
    """A chosen group and why."""

    group: Group
    """Where the request goes."""

    reason: ChoiceReason
    """Why."""


def hash_session(session: str) -> int:
    """Return the hash of a session, of 64 bits."""
    digest = hashlib.blake2b(session.encode(), digest_size=8)
    return int.from_bytes(digest.digest())


@lru_cache(maxsize=GROUPS_HASHED)
def hash_group(group: GroupId) -> int:
    """Return the hash of a group, of 64 bits."""
    return hash_session(group)


def score_group(session_hash: int, group: GroupId) -> int:
    """Return the rendezvous score of a session at a group."""
    mixed = (session_hash ^ hash_group(group)) * MIX_FACTOR & MIX_MASK
    return (mixed ^ mixed >> MIX_SHIFT) * MIX_FACTOR & MIX_MASK


def choose_for_session(
    session: SessionId,
    groups: Sequence[Group],
    is_usable: Callable[[Group], bool],
    loads: LoadSource,
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
    is_usable
        Answers whether a group can serve now.
    loads
        What is known of their loads.
    """
    session_hash = hash_session(session)
    ranked = [
        (-score_group(session_hash, group.group), place)
        for place, group in enumerate(groups)
    ]
    heapq.heapify(ranked)
    bound = LOAD_BOUND * loads.get_average_cost() + LOAD_SLACK
    reason = ChoiceReason.SESSION
    fallback = None
    while ranked:
        group = groups[heapq.heappop(ranked)[1]]
        if is_usable(group):
            if loads.get_load(group.group).cost <= bound:
                return Choice(group, reason)
            fallback = fallback or Choice(group, reason)
            reason = ChoiceReason.MOVED_LOAD
        else:
            reason = ChoiceReason.MOVED_DOWN
    return fallback


def choose_less_loaded(
    groups: Sequence[Group],
    is_usable: Callable[[Group], bool],
    loads: LoadSource,
    random: Random,
) -> Choice | None:
    """Return the less loaded of two usable groups drawn at random."""
    count = min(GROUPS_DRAWN, len(groups))
    drawn = [
        group for group in random.sample(groups, count) if is_usable(group)
    ]
    if not any(_is_awake(group, loads) for group in drawn):
        # Without this a request goes to a group that has just failed, or is
        # refused, while others are sound.
        usable = [group for group in groups if is_usable(group)]
        awake = [group for group in usable if _is_awake(group, loads)]
        drawn = awake or usable
        random.shuffle(drawn)
    drawn.sort(key=lambda group: not _is_awake(group, loads))
    best = min(
        drawn[:2],
        key=lambda group: loads.get_load(group.group).cost,
        default=None,
    )
    return None if best is None else Choice(best, ChoiceReason.LESS_LOADED)


def _is_awake(group: Group, loads: LoadSource) -> bool:
    """Answer whether a group does not rest for a failure."""
    return loads.get_load(group.group).weight > 0
