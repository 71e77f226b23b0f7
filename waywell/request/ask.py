"""A request for a replica as it came in, decoded."""

from __future__ import annotations

import msgspec

from waywell.connection.forwarding import ForwardMark, PeerRefusal
from waywell.connection.wire_format import RawHeaders
from waywell.ids import AccountName, ModelName, PromptPart


class Ask(msgspec.Struct, frozen=True):
    """What a caller asks, and what it says of the request."""

    attempt: str
    """The caller's id of this attempt; each attempt has its own."""

    method: str
    """HTTP method."""

    target: str
    """Path and query."""

    host: str
    """Host that it asks for."""

    headers: RawHeaders
    """Headers that go on to the replica."""

    body: bytes
    """Body, untouched."""

    key: str = ''
    """Key of the client account; empty where none was sent."""

    seconds: float | None = None
    """For which the caller will wait, from the arrival."""

    resume_after: int | None = None
    """Last event that the caller has; ``None`` for a whole stream."""

    model: ModelName = ModelName('')
    """Model that it asks for."""

    prompt_tokens: int = 0
    """Tokens of the prompt."""

    answer_tokens: int = 0
    """Most tokens of the answer."""

    likely_tokens: int = 0
    """Tokens that the caller expects; 0 where it does not say."""

    prompt_parts: tuple[PromptPart, ...] = ()
    """Parts of the prompt that other requests may share."""

    forwarded: ForwardMark | None = None
    """Set where another entry box forwards it."""

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition('?')[0]


class Delivery(msgspec.Struct, frozen=True):
    """What is added to an ask on its way to a replica."""

    account: AccountName | None
    """Client account, where the route asks for a key."""

    seconds: float
    """For which the replica may work."""

    resume_after: int | None = None
    """Last event that the caller has by now."""

    priority: int | None = None
    """Rank among the replica's requests, 0 first."""


class AnswerMark(msgspec.Struct, frozen=True):
    """What a replica says of its answer, beside status and body."""

    attempt: str = ''
    """Id of the attempt that it answers."""

    is_rejected: bool = False
    """Whether the replica says that it has not run the request."""

    is_misdirected: bool = False
    """Whether another box, or a box that is no head, has the address."""

    rest_seconds: float = 0.0
    """For which the replica wants nothing from this node; 0 for no wish."""

    is_leaving: bool = False
    """Whether the replica says that it is about to end."""

    limit: float | None = None
    """Requests a second that the replica takes from all nodes together;
    ``None`` where the answer says nothing of it."""

    refusal: PeerRefusal | None = None
    """Set where a peer has refused the request that it was to forward."""
