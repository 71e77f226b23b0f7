"""A request as it came in, and the caller's side of it."""

from __future__ import annotations

import abc
from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from waywell.ids import GroupId, SessionId
from waywell.request.facts import RequestFacts
from waywell.request.traits import RequestTraits
from waywell.version.objects import Account, Service
from waywell.version.serving import RequestShape

if TYPE_CHECKING:
    from waywell.connection.target import TargetAnswer


@attrs.frozen
class Submission:
    """A request as it came in."""

    method: str
    """HTTP method."""

    target: str
    """Path and query."""

    headers: Mapping[str, str]
    """Headers with names in lower case, the last value of each."""

    forwarded_headers: tuple[tuple[bytes, bytes], ...]
    """Headers that go on to the target."""

    body: bytes
    """Body, untouched."""


class CallerConnection(abc.ABC):
    """The caller's side of a request."""

    @abc.abstractmethod
    def is_disconnected(self) -> bool:
        """Answer whether the caller has hung up."""

    @abc.abstractmethod
    async def relay(self, answer: TargetAnswer, service: Service) -> bool:
        """Pass an answer on; answer whether it was whole."""


@attrs.define
class PendingRequest:
    """A request on its way."""

    submission: Submission
    """The request as it came in."""

    caller: CallerConnection
    """Who waits for the answer."""

    facts: RequestFacts
    """What the request says of itself."""

    account: Account
    """Client account."""

    service: Service
    """Service asked for."""

    shape: RequestShape
    """What the choice of groups depends on."""

    deadline_at: float
    """When the answer must have begun, in seconds of the node's clock."""

    traits: RequestTraits
    """What it may be blamed by when targets crash."""

    tried: set[GroupId] = attrs.Factory(set)
    """Groups that failed it."""

    permits_missed: int = 0
    """Groups with a limit that had no turn for it."""

    may_have_run: bool = False
    """Whether a byte of it may have reached a target."""

    @property
    def session(self) -> SessionId | None:
        """Return the session, named so that accounts share none."""
        if self.facts.session is None:
            return None
        account = self.account.name
        return SessionId(f'{account}/{self.facts.session}')
