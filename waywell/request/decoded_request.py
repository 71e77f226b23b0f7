"""Requests of callers, decoded, and the metadata of their answers."""

from __future__ import annotations

import msgspec

from waywell.connection.forwarding import ForwardingHeader, PeerRefusal
from waywell.connection.wire_format import RawHeaders
from waywell.ids import AccountName, ModelName, PromptPart


class DecodedRequest(msgspec.Struct, frozen=True):
    """A request as received, with the values decoded from its headers."""

    attempt_id: str
    """Id that the caller gave this attempt; a repeat has another one."""

    method: str
    """HTTP method, as received."""

    target: str
    """Request target: path and query string."""

    host: str
    """Value of the ``Host`` header, by which the route is found."""

    headers: RawHeaders
    """Headers to forward to the replica."""

    body: bytes
    """Body bytes, forwarded unchanged."""

    api_key: str = ''
    """API key of the client account; empty if none was sent."""

    timeout_seconds: float | None = None
    """Seconds from arrival that the caller waits; ``None`` if not sent."""

    resume_after: int | None = None
    """Number of the last event that the caller received; ``None`` to get the
    stream from its start."""

    model: ModelName = ModelName('')
    """Requested model; empty if none was named."""

    prompt_tokens: int = 0
    """Length of the prompt, in tokens."""

    answer_tokens: int = 0
    """Maximum length of the answer, in tokens."""

    expected_answer_tokens: int = 0
    """Answer length that the caller expects, in tokens; 0 if not sent."""

    prompt_parts: tuple[PromptPart, ...] = ()
    """Identifiers of prompt parts that other requests may share."""

    forwarded: ForwardingHeader | None = None
    """Forwarding metadata; set if another entry box forwarded the request."""

    @property
    def path(self) -> str:
        """Return the request target without its query string."""
        return self.target.partition('?')[0]


class DeliveryParameters(msgspec.Struct, frozen=True):
    """Values that the node adds to a request when it sends it to a replica."""

    account: AccountName | None
    """Client account; ``None`` for routes that need no API key."""

    seconds: float
    """Seconds that are left for the replica to answer."""

    resume_after: int | None = None
    """Number of the last event that was relayed to the caller."""

    priority: int | None = None
    """Priority in the replica's queue; 0 is served first."""


class AnswerMetadata(msgspec.Struct, frozen=True):
    """Metadata that a replica sends in the headers of its answer."""

    attempt_id: str = ''
    """Id of the attempt that this answers, to detect foreign answers."""

    is_rejected: bool = False
    """Whether the replica states that it has not run the request."""

    is_misdirected: bool = False
    """Whether the address belongs to another box, or to a box that is not the
    head of its group."""

    rest_seconds: float = 0.0
    """Seconds for which the replica asks this node to send it no requests; 0
    if it does not ask for a pause."""

    is_leaving: bool = False
    """Whether the replica announces that it is about to shut down."""

    rate_limit: float | None = None
    """Requests per second that the replica accepts from all nodes together;
    ``None`` if the answer does not state a limit."""

    refusal: PeerRefusal | None = None
    """Refusal of a peer that was asked to forward the request."""
