"""Claims, by which a request that may not be repeated runs at most once.

An entry box issues request ids that contain its name and incarnation.  It is
the home node of these ids and keeps their claims in memory.  An entry box that
receives a repeat asks the home node.  If the home node is lost or has another
incarnation, the outcome is unknown and the request is not run.

An id is granted at most once, even if the request was refused before it ran:
other submissions of the id may still be in flight, and the answer "not run"
has to stay true.
"""

from __future__ import annotations

import enum

import msgspec

from waywell.ids import Incarnation, NodeId, RequestId

ISSUED_ID_SECONDS = 900.0
"""Seconds for which an id can be claimed after it was issued."""

MAX_CLAIMS = 50_000
"""Maximum number of claims that a home node keeps."""

ID_PART_COUNT = 4
"""Number of parts of an issued id: node, incarnation, time of issue in
seconds, and a part that the caller chooses."""


class ClaimState(enum.Enum):
    """State of a request id at its home node."""

    GRANTED = 'granted'
    """The submission that made the claim, and no other, may run it."""

    RUNNING = 'running'
    """Another submission was granted the id and has not settled it."""

    DONE = 'done'
    """The request has run."""

    UNKNOWN = 'unknown'
    """The request may have run."""

    REFUSED = 'refused'
    """The request was refused before it ran and will never run."""

    EXPIRED = 'expired'
    """The id is too old, or was not issued by this incarnation."""

    FULL = 'full'
    """The home node keeps the maximum number of claims."""


class ClaimKey(msgspec.Struct, frozen=True):
    """A request id, scoped to its client account."""

    account: str
    """Client account; equal ids of two accounts are separate requests."""

    request_id: RequestId
    """Id from the request, issued by an entry box or made by the caller."""


class IssuedId(msgspec.Struct, frozen=True):
    """The parts of a request id that an entry box issued."""

    node: NodeId
    """Entry box that issued the id and keeps its claim."""

    incarnation: Incarnation
    """Incarnation of that entry box when it issued the id."""

    second: int
    """Time of issue in whole seconds, by the clock of the home node."""


def make_id_prefix(node: NodeId, incarnation: Incarnation, now: float) -> str:
    """Return the prefix of the request ids that a node issues at ``now``."""
    return f'{node}:{incarnation}:{int(now)}:'


def parse_issued_id(request_id: RequestId) -> IssuedId | None:
    """Return the parts of an id, or ``None`` if no entry box issued it."""
    parts = request_id.split(':', ID_PART_COUNT - 1)
    if len(parts) < ID_PART_COUNT or not parts[ID_PART_COUNT - 1]:
        return None
    node, incarnation, second, _caller_part = parts
    if not (incarnation.isdecimal() and second.isdecimal()):
        return None
    return IssuedId(NodeId(node), Incarnation(int(incarnation)), int(second))


class _Claim(msgspec.Struct):
    state: ClaimState
    expires_at: float
    holder: NodeId
    holder_incarnation: int


class ClaimTable:
    """The claims that one home node keeps.

    Parameters
    ----------
    node
        Name of this entry box.
    incarnation
        Incarnation of this entry box.
    """

    def __init__(self, node: NodeId, incarnation: Incarnation) -> None:
        """Create an empty table, as no id of this incarnation was issued."""
        self._node = node
        self._incarnation = incarnation
        self._claims: dict[ClaimKey, _Claim] = {}

    def __len__(self) -> int:
        """Return the number of stored claims."""
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
            Entry box that will run the request if the claim is granted.
        holder_incarnation
            Incarnation of that entry box.
        now
            Current time by the clock of the home node, in seconds.

        Returns
        -------
        ClaimState
            ``GRANTED`` if the request may run, otherwise the reason why not.
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
        # The claim outlives its id, so that the id can't be granted again.
        expires_at = issued.second + 2 * ISSUED_ID_SECONDS
        self._claims[key] = _Claim(
            ClaimState.GRANTED,
            expires_at,
            holder,
            holder_incarnation,
        )
        return ClaimState.GRANTED

    def change_incarnation(self, incarnation: Incarnation) -> None:
        """Issue ids of a new incarnation from now on; earlier ids expire.

        Parameters
        ----------
        incarnation
            New incarnation of this node, chosen after it received the record
            of an earlier run of itself with a higher incarnation.
        """
        self._incarnation = incarnation

    def settle(self, key: ClaimKey, state: ClaimState) -> None:
        """Record the outcome of a claimed request."""
        claim = self._claims.get(key)
        if claim is not None:
            claim.state = state

    def mark_holder_lost(self, node: NodeId, incarnation: int) -> None:
        """Set the unsettled claims of a lost entry box to unknown outcome."""
        for claim in self._claims.values():
            is_holder = claim.holder == node
            is_earlier = claim.holder_incarnation <= incarnation
            if is_holder and is_earlier and claim.state is ClaimState.GRANTED:
                claim.state = ClaimState.UNKNOWN

    def forget_expired(self, now: float) -> None:
        """Delete the claims of ids that can no longer be claimed."""
        expired = [
            key
            for key, claim in self._claims.items()
            if claim.expires_at < now
        ]
        for key in expired:
            self._claims.pop(key)

    def _is_valid(self, issued: IssuedId, now: float) -> bool:
        if issued.node != self._node:
            return False
        if issued.incarnation != self._incarnation:
            return False
        return 0 <= now - issued.second < ISSUED_ID_SECONDS
