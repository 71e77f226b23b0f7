"""Requests to services, and the connections of their callers."""

from __future__ import annotations

import abc
from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from waywell.ids import GroupId, SessionId
from waywell.request.facts import RequestFacts
from waywell.request.resend_rule import SendState
from waywell.request.retry import ATTEMPT_LIMIT
from waywell.request.traits import RequestTraits
from waywell.version.objects import Account, Service
from waywell.version.serving import RequestShape

if TYPE_CHECKING:
    from waywell.connection.target import TargetAnswer


@attrs.frozen
class Submission:
    """A request as received from a caller."""

    method: str
    """HTTP method, as received."""

    target: str
    """Request target: path and query string."""

    headers: Mapping[str, str]
    """Headers by lower-case name; the last value if a name is repeated."""

    forwarded_headers: tuple[tuple[bytes, bytes], ...]
    """Headers to forward to the target."""

    body: bytes
    """Body bytes, forwarded unchanged."""


class CallerConnection(abc.ABC):
    """Connection of the caller of a request."""

    @abc.abstractmethod
    def is_disconnected(self) -> bool:
        """Return whether the caller has disconnected."""

    @abc.abstractmethod
    async def relay(self, answer: TargetAnswer, service: Service) -> bool:
        """Relay an answer to the caller; return whether it was complete."""


@attrs.define
class PendingRequest:
    """A request to a service, from its arrival to the end of its answer."""

    submission: Submission
    """Request as received from the caller."""

    caller: CallerConnection
    """Connection that the answer is relayed to."""

    facts: RequestFacts
    """Values decoded from the headers of the request."""

    account: Account
    """Client account that sent the request."""

    service: Service
    """Requested service."""

    shape: RequestShape
    """Properties of the request that serving rules match."""

    arrived_at: float
    """Time of arrival by the node's clock, in seconds."""

    deadline_at: float
    """Time by which the answer must have begun, by the node's clock, in
    seconds."""

    traits: RequestTraits
    """Properties that crashes of targets are attributed to."""

    tried: set[GroupId] = attrs.Factory(set)
    """Groups at which an attempt has failed."""

    permits_denied: int = 0
    """Number of groups with a rate limit that denied a permit."""

    sends: int = 0
    """Number of targets that may have received a byte of the request."""

    rejections: int = 0
    """Number of these targets that rejected it without running it."""

    @property
    def may_have_run(self) -> bool:
        """Return whether a target may have run the request."""
        return self.make_send_state().may_have_run

    def make_send_state(self) -> SendState:
        """Return what decides whether the request may be sent again."""
        return SendState(
            may_repeat=self.facts.repeatable,
            sends=self.sends,
            rejections=self.rejections,
            max_sends=ATTEMPT_LIMIT,
            deadline_at=self.deadline_at,
        )

    @property
    def session(self) -> SessionId | None:
        """Return the session id, prefixed with its account to be unique."""
        if self.facts.session is None:
            return None
        account = self.account.name
        return SessionId(f'{account}/{self.facts.session}')
