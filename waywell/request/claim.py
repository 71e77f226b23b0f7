"""Claims: a request that may not be repeated runs at most once.

An entry box gives out request ids that name it and its incarnation: it
is their home and keeps their claims in memory.  A repeat that arrives
elsewhere asks the home.  A home that is gone, or that has another
incarnation, means that the outcome is unknown, and nothing is run.

An id has one fate: once it was granted it is never granted again, also
when the request was refused before it ran, so that a word "not run"
stays true whatever submissions of the id are still on their way.
"""

from __future__ import annotations

import enum

import msgspec

from waywell.ids import Incarnation, NodeId, RequestId

ISSUED_ID_SECONDS = 900.0
"""Seconds for which an id is good after it was given out."""

MAX_CLAIMS = 50_000
"""Claims that one home keeps."""

ID_PART_COUNT = 4
"""Node, incarnation, second of issue and the caller's own part."""


class ClaimState(enum.Enum):
    """What a home knows of a request id."""

    GRANTED = 'granted'
    """The asker, and nobody else, may run it."""

    RUNNING = 'running'
    """Another submission holds it."""

    DONE = 'done'
    """It has run."""

    UNKNOWN = 'unknown'
    """It may have run."""

    REFUSED = 'refused'
    """It was refused before it ran, and will not run any more."""

    EXPIRED = 'expired'
    """The id is too old, or was never given out."""

    FULL = 'full'
    """The home keeps too many claims to take another."""


class ClaimKey(msgspec.Struct, frozen=True):
    """A request id within its client account."""

    account: str
    """Client account: another account's id is another request."""

    request_id: RequestId
    """Request id."""


class IssuedId(msgspec.Struct, frozen=True):
    """The parts of a request id that an entry box gave out."""

    node: NodeId
    """Home."""

    incarnation: Incarnation
    """Incarnation of the home."""

    second: int
    """Second of issue, by the home's own clock."""


def make_id_prefix(node: NodeId, incarnation: Incarnation, now: float) -> str:
    """Return the prefix of request ids that a home gives out at ``now``."""
    return f'{node}:{incarnation}:{int(now)}:'


def parse_issued_id(request_id: RequestId) -> IssuedId | None:
    """Return the parts of an id, or ``None`` for a caller's own id."""
    parts = request_id.split(':', ID_PART_COUNT - 1)
    if len(parts) < ID_PART_COUNT or not parts[ID_PART_COUNT - 1]:
        return None
    node, incarnation, second, _own = parts
    if not (incarnation.isdecimal() and second.isdecimal()):
        return None
    return IssuedId(NodeId(node), Incarnation(int(incarnation)), int(second))


class _Claim(msgspec.Struct):
    state: ClaimState
    until: float
    holder: NodeId
    holder_incarnation: int


class ClaimTable:
    """The claims of one home.

    Parameters
    ----------
    node
        This entry box.
    incarnation
        Its incarnation.
    """

    def __init__(self, node: NodeId, incarnation: Incarnation) -> None:
        """Start empty: no id of this incarnation was given out yet."""
        self._node = node
        self._incarnation = incarnation
        self._claims: dict[ClaimKey, _Claim] = {}

    def __len__(self) -> int:
        """Return the number of claims kept."""
        return len(self._claims)

    def claim(
        self,
        key: ClaimKey,
        holder: NodeId,
        holder_incarnation: int,
        now: float,
    ) -> ClaimState:
        """Claim an id for one submission.

        Parameters
        ----------
        key
            Account and request id.
        holder
            Entry box that would run it.
        holder_incarnation
            Its incarnation.
        now
            Present time by the home's clock, in seconds.
        """
        issued = parse_issued_id(key.request_id)
        if issued is None or not self._is_valid(issued, now):
            return ClaimState.EXPIRED
        earlier = self._claims.get(key)
        if earlier is not None:
            state = earlier.state
            return ClaimState.RUNNING if state is ClaimState.GRANTED else state
        if len(self._claims) >= MAX_CLAIMS:
            self.forget_expired(now)
        if len(self._claims) >= MAX_CLAIMS:
            return ClaimState.FULL
        # The claim outlives the id, so an id can't be claimed afresh.
        until = issued.second + 2 * ISSUED_ID_SECONDS
        self._claims[key] = _Claim(
            ClaimState.GRANTED,
            until,
            holder,
            holder_incarnation,
        )
        return ClaimState.GRANTED

    def change_incarnation(self, incarnation: Incarnation) -> None:
        """Give out ids of another incarnation; those of before have expired.

        Parameters
        ----------
        incarnation
            The home's, after it met the record of a run with a higher one.
        """
        self._incarnation = incarnation

    def settle(self, key: ClaimKey, state: ClaimState) -> None:
        """Keep how the run of a claimed request ended."""
        claim = self._claims.get(key)
        if claim is not None:
            claim.state = state

    def mark_holder_lost(self, node: NodeId, incarnation: int) -> None:
        """Mark what a lost entry box held as of unknown outcome."""
        for claim in self._claims.values():
            held = claim.holder == node
            earlier = claim.holder_incarnation <= incarnation
            if held and earlier and claim.state is ClaimState.GRANTED:
                claim.state = ClaimState.UNKNOWN

    def forget_expired(self, now: float) -> None:
        """Drop the claims of ids that can't be claimed any more."""
        old = [key for key, claim in self._claims.items() if claim.until < now]
        for key in old:
            self._claims.pop(key)

    def _is_valid(self, issued: IssuedId, now: float) -> bool:
        if issued.node != self._node:
            return False
        if issued.incarnation != self._incarnation:
            return False
        return 0 <= now - issued.second < ISSUED_ID_SECONDS
