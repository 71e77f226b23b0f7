"""Choice of the replica group that serves a request."""

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
"""Multiple of the average cost above which a session leaves its group."""

DRAWN_GROUPS = 4
"""Number of groups drawn at random to find two that can serve."""

HASH_CACHE_SIZE = 4096
"""Maximum number of group hashes that are cached."""

MIX_FACTOR = 0x9E3779B97F4A7C15
"""Odd multiplier that spreads the bits of a hash."""

MIX_MASK = 0xFFFFFFFFFFFFFFFF
"""Mask that truncates a product to 64 bits."""

MIX_SHIFT = 32
"""Bits by which the product is shifted between the two multiplications, so
that its high bits affect the low ones."""

MIN_WEIGHT = 0.01
"""Lower bound of the weight in a group's cost, which bounds the cost."""

LOAD_SLACK = 4.0
"""Cost that is added to the bound, so that sessions do not move at low
load."""


class ChoiceReason(enum.Enum):
    """Why a group was chosen."""

    SESSION = 'session'
    """The group has the session's highest score."""

    MOVED_DOWN = 'moved_down'
    """The group with the next higher score can't serve."""

    MOVED_LOAD = 'moved_load'
    """The group with the next higher score exceeds the load bound."""

    LESS_LOADED = 'less_loaded'
    """The group is the less loaded of two random ones."""


class GroupLoad(msgspec.Struct, frozen=True):
    """Load of one group as one node knows it."""

    in_flight: float = 0.0
    """Requests in flight from this node and, as last reported, from others."""

    slowness: float = 1.0
    """Time to the first byte relative to the typical one, at least 1."""

    weight: float = 1.0
    """Fraction of full load that the group may get; 0 while in backoff."""

    @property
    def cost(self) -> float:
        """Return the cost of one more request, in weighted requests."""
        return (
            (self.in_flight + 1) * self.slowness / max(self.weight, MIN_WEIGHT)
        )


class LoadSource(abc.ABC):
    """Provides the loads of the groups of one service."""

    @abc.abstractmethod
    def get_load(self, group: GroupId) -> GroupLoad:
        """Return the load of a group."""

    @abc.abstractmethod
    def get_average_cost(self) -> float:
        """Return the average cost over the groups to choose from."""


class Choice(msgspec.Struct, frozen=True):
    """A chosen group with the reason for the choice."""

    group: Group
    """Group that gets the request."""

    reason: ChoiceReason
    """Reason that the request history records."""


def hash_session(session: str) -> int:
    """Return the 64-bit hash of a session."""
    digest = hashlib.blake2b(session.encode(), digest_size=8)
    return int.from_bytes(digest.digest())


@lru_cache(maxsize=HASH_CACHE_SIZE)
def hash_group(group: GroupId) -> int:
    """Return the 64-bit hash of a group."""
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
    """Return the group of a session by rendezvous hashing.

    The score depends only on the names of session and group, so every entry
    box chooses the same group, and a group that returns gets back only its
    own sessions.

    Parameters
    ----------
    session
        Session id, prefixed with the account.
    groups
        Groups that the routing rules allow.
    is_usable
        Returns whether a group can serve now.
    loads
        Loads of the groups.
    """
    session_hash = hash_session(session)
    ranked = [
        (-score_group(session_hash, group.group), index)
        for index, group in enumerate(groups)
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
    """Return the less loaded of two usable groups drawn at random.

    Groups in backoff are chosen only if all usable groups are in backoff.
    """
    count = min(DRAWN_GROUPS, len(groups))
    drawn = [
        group for group in random.sample(groups, count) if is_usable(group)
    ]
    if not any(_has_weight(group, loads) for group in drawn):
        # Without a second look at all groups, the request would go to a group
        # that has just failed, or be refused, while other groups are healthy.
        usable = [group for group in groups if is_usable(group)]
        weighted = [group for group in usable if _has_weight(group, loads)]
        drawn = weighted or usable
        random.shuffle(drawn)
    drawn.sort(key=lambda group: not _has_weight(group, loads))
    best = min(
        drawn[:2],
        key=lambda group: loads.get_load(group.group).cost,
        default=None,
    )
    return None if best is None else Choice(best, ChoiceReason.LESS_LOADED)


def _has_weight(group: Group, loads: LoadSource) -> bool:
    """Return whether a group is not in backoff after a failure."""
    return loads.get_load(group.group).weight > 0
