"""HTTP/1.1 port that serves requests and the entry list to callers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import msgspec

from waywell.codes import Code, Ran, Refusal
from waywell.connection.caller_base import (
    BaseCallerRequest,
    BaseCallerSite,
)
from waywell.connection.forwarding import CODE_HEADER, RAN_HEADER
from waywell.connection.hop_headers import HOP_BY_HOP_HEADERS
from waywell.connection.relay import AnswerRelay
from waywell.connection.target import (
    EPOCH_HEADER,
    GROUP_HEADER,
    PRIORITY_HEADER,
)
from waywell.request.submission import CallerConnection, Submission
from waywell.version.objects import Service, ServiceType

if TYPE_CHECKING:
    from waywell.connection.target import TargetAnswer

ENTRIES_PATH = b'/entries'
"""Path at which callers fetch the list of entry boxes."""


CONFIGURATION_HEADER = 'waywell-configuration'
"""Response header with the version of the configuration in force when the
request was served."""


_STRIPPED_HEADERS = HOP_BY_HOP_HEADERS | {
    'authorization',
    'host',
    'expect',
    'content-length',
    GROUP_HEADER,
    EPOCH_HEADER,
    PRIORITY_HEADER,
}


MAX_RETRY_AFTER_SECONDS = 3600
"""Upper bound of the ``retry-after`` header, in seconds."""


class CallerBackend(msgspec.Struct, frozen=True):
    """Functions and limits of the node that the port uses."""

    serve: Callable[[Submission, CallerConnection], Awaitable[None]]
    """Serves a request; raises ``Refusal`` if it can't."""

    list_entries: Callable[[], dict[str, Any]]
    """Returns the entry list as values that JSON can encode."""

    get_configuration: Callable[[], int]
    """Returns the version of the configuration in force."""

    report: Callable[[CallerRequest, Code, Ran], None]
    """Records the result code of a request and whether the request ran."""

    body_bytes: int
    """Largest request body, in bytes."""


class CallerRequest(BaseCallerRequest):
    """Request of a caller to the entry daemon."""

    def refuse(self, refusal: Refusal) -> None:
        """Record a refusal and send it as the response."""
        self.backend.report(self, refusal.code, refusal.ran)
        if self.is_disconnected:
            return
        raw = msgspec.json.encode(refusal.describe())
        self.setResponseCode(refusal.status)
        self.setHeader(b'content-type', b'application/json')
        self.setHeader(b'content-length', str(len(raw)).encode())
        self.setHeader(CODE_HEADER.encode(), str(int(refusal.code)).encode())
        self.setHeader(RAN_HEADER.encode(), refusal.ran.value.encode())
        if refusal.retry_after is not None:
            seconds = max(
                1, round(min(refusal.retry_after, MAX_RETRY_AFTER_SECONDS))
            )
            self.setHeader(b'retry-after', str(seconds).encode())
        self.write(raw)
        self.finish()

    def read_text(self, header: str) -> str:
        """Return the last value of a header, or an empty string."""
        texts = self.requestHeaders.getRawHeaders(header.encode(), [b''])
        return str(texts[-1].decode('latin-1'))

    async def serve_path(self) -> None:
        """Respond with the entry list, or serve a request to a service."""
        if self.path == ENTRIES_PATH:
            self._send_entries()
            return
        number = str(self.backend.get_configuration()).encode()
        self.setHeader(CONFIGURATION_HEADER.encode(), number)
        await self.backend.serve(
            self._make_submission(), _RequestAdapter(self)
        )
        self.backend.report(self, Code.OK, Ran.RAN)

    def _send_entries(self) -> None:
        raw = msgspec.json.encode(self.backend.list_entries())
        self.setHeader(b'content-type', b'application/json')
        self.setHeader(b'content-length', str(len(raw)).encode())
        self.write(raw)
        self.finish()

    def _make_submission(self) -> Submission:
        headers = {
            name.decode('latin-1').lower(): texts
            for name, texts in self.requestHeaders.getAllRawHeaders()
        }
        passed = tuple(
            (name.encode('latin-1'), text)
            for name, texts in headers.items()
            if name not in _STRIPPED_HEADERS
            for text in texts
        )
        return Submission(
            method=self.method.decode('latin-1'),
            target=self.uri.decode('latin-1'),
            headers={
                name: texts[-1].decode('latin-1')
                for name, texts in headers.items()
            },
            forwarded_headers=passed,
            body=self.take_body(),
        )


class _RequestAdapter(CallerConnection):
    """Makes a twisted request usable by the dispatcher."""

    def __init__(self, request: CallerRequest) -> None:
        self._request = request

    def is_disconnected(self) -> bool:
        return self._request.is_disconnected

    async def relay(self, answer: TargetAnswer, service: Service) -> bool:
        if self._request.is_disconnected:
            answer.abandon()
            return False
        needs_end_marker = service.type is ServiceType.MODEL
        relay = AnswerRelay(self._request, answer, needs_end_marker)
        self._request.is_relaying = True
        relay.start()
        return await relay.completion


class CallerSite(BaseCallerSite):
    """Site that serves the callers of the entry daemon."""

    request_class = CallerRequest
