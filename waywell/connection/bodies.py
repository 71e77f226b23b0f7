"""Request and response bodies of the twisted HTTP client."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet.protocol import Protocol, connectionDone
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from waywell.connection.body_end import BodyOutcome, classify_body_end
from waywell.connection.client_connection import (
    OversizedResponseError,
    ResponsePart,
)

if TYPE_CHECKING:
    from twisted.internet.interfaces import IConsumer
    from twisted.python.failure import Failure

    from waywell.connection.client_connection import ClientResponse


@implementer(IBodyProducer)
class BytesBodyProducer:
    """Produces a request body from bytes in memory."""

    def __init__(self, body: bytes) -> None:
        """Keep the bytes and announce their length."""
        self.length = len(body)
        self._body = body

    def startProducing(self, consumer: IConsumer) -> defer.Deferred[None]:  # noqa: N802
        """Write the complete body in one call."""
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: ``startProducing`` writes the complete body."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: ``startProducing`` writes the complete body."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: ``startProducing`` writes the complete body."""


class _BodyCollector(Protocol):
    """Collects a body of limited size in memory.

    Bytes and the end of a body that nobody waits for any more are ignored.
    """

    def __init__(
        self,
        response: ClientResponse,
        body: asyncio.Future[bytes],
        max_bytes: int,
    ) -> None:
        self._response = response
        self._body = body
        self._max_bytes = max_bytes
        self._received = bytearray()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, WPS110
        """Append bytes of the body, or abort the connection at the limit."""
        if self._body.done():
            return
        size = len(self._received) + len(data)
        if size <= self._max_bytes:
            self._received += data
            return
        self._received.clear()
        self._body.set_exception(OversizedResponseError(size))
        self._response.abort_oversized(
            ResponsePart.BODY, self._max_bytes, size
        )

    def connectionLost(  # noqa: N802
        self,
        reason: Failure = connectionDone,
    ) -> None:
        """Set the result of the future, or its exception if truncated."""
        if self._body.done():
            return
        end = classify_body_end(reason, self._response.was_closed)
        if BodyOutcome(end).is_complete:
            self._body.set_result(bytes(self._received))
        else:
            self._body.set_exception(reason.value)


async def read_body(
    response: ClientResponse, seconds: float, max_bytes: int
) -> bytes:
    """Read the complete body of a response.

    ``readBody`` of twisted logs a traceback if the body ends after the wait
    for it has timed out.

    Parameters
    ----------
    response
        Response whose headers have been read.
    seconds
        Timeout for the body, in seconds.
    max_bytes
        Maximum size of the body in bytes.

    Raises
    ------
    OversizedResponseError
        If the body exceeds its maximum size.  The connection is aborted.
    TimeoutError
        If the body is not complete in time.  The connection is aborted, as
        it is if the caller's task is cancelled.
    """
    body: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
    response.deliverBody(_BodyCollector(response, body, max_bytes))
    try:
        return await asyncio.wait_for(body, seconds)
    except (TimeoutError, asyncio.CancelledError):
        response.abort()
        raise
