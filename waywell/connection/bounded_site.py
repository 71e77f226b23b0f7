"""Sites for short calls, with limited bodies and connections."""

from __future__ import annotations

from collections import OrderedDict
from io import BytesIO
from typing import TYPE_CHECKING, Any

import msgspec
from twisted.web.http import HTTPChannel
from twisted.web.server import Request, Site

from waywell.codes import Code, Refusal
from waywell.connection.caller_channel import LINGER_SECONDS

if TYPE_CHECKING:
    from twisted.web.resource import Resource

CALL_SECONDS = 30.0
"""Timeout of idle connections, and of calls whose body stops, in seconds."""


class BoundedRequest(Request):
    """Request whose body is collected in memory up to a limit."""

    def gotLength(self, length: int | None) -> None:
        """Refuse a body that is announced as too large."""
        self.content = BytesIO()
        if length is not None and length > self.channel.site.body_bytes:
            self.channel.refuse_body()

    def handleContentChunk(self, data: bytes) -> None:
        """Append to the body; refuse it once it exceeds the limit."""
        size = self.content.tell() + len(data)
        if size > self.channel.site.body_bytes:
            self.channel.refuse_body()
        else:
            self.content.write(data)


class BoundedChannel(HTTPChannel):
    """Connection that is closed after a body that is too large."""

    def __init__(self) -> None:
        """Initialize before the connection is made."""
        super().__init__()
        self._is_refusing = False

    def connectionMade(self) -> None:
        """Add the connection; close the oldest one if there are too many."""
        super().connectionMade()
        self.site.add(self)

    def connectionLost(self, reason: Any) -> None:
        """Remove the connection."""
        self.site.remove(self)
        super().connectionLost(reason)

    def lineReceived(self, line: bytes) -> None:
        """Parse a line; discard it after a refusal."""
        if not self._is_refusing:
            super().lineReceived(line)

    def rawDataReceived(self, data: bytes) -> None:
        """Parse bytes of a body; discard them after a refusal."""
        if not self._is_refusing:
            super().rawDataReceived(data)

    def refuse_body(self) -> None:
        """Refuse a body that is too large and close the connection."""
        if self._is_refusing:
            return
        self._is_refusing = True
        refusal = Refusal(Code.DOCUMENT_TOO_LARGE)
        raw = msgspec.json.encode(refusal.describe())
        head = (
            f'HTTP/1.1 {refusal.status} Refused\r\n'
            'content-type: application/json\r\n'
            f'content-length: {len(raw)}\r\nconnection: close\r\n\r\n'
        )
        self.transport.write(head.encode() + raw)
        self.transport.loseWriteConnection()
        self.callLater(LINGER_SECONDS, self.loseConnection)


class BoundedSite(Site):
    """Site with limited bodies and connections.

    Parameters
    ----------
    resource
        Resource that serves all paths.
    body_bytes
        Largest body of a call, in bytes; 0 for calls without a body.
    connections
        Open connections above which the oldest one is closed.
    """

    protocol = BoundedChannel
    displayTracebacks = False

    def __init__(
        self, resource: Resource, body_bytes: int, connections: int
    ) -> None:
        """Start without connections."""
        super().__init__(
            resource, requestFactory=BoundedRequest, timeout=CALL_SECONDS
        )
        self.body_bytes = body_bytes
        self._max_connections = connections
        self._channels: OrderedDict[BoundedChannel, None] = OrderedDict()

    def add(self, channel: BoundedChannel) -> None:
        """Add a connection; abort the oldest one if there are too many."""
        self._channels[channel] = None
        if len(self._channels) > self._max_connections:
            oldest, _mark = self._channels.popitem(last=False)
            oldest.transport.abortConnection()

    def remove(self, channel: BoundedChannel) -> None:
        """Remove a connection that was closed."""
        self._channels.pop(channel, None)

    def log(self, request: Request) -> None:
        """Write no access log: such calls arrive every second."""
