"""Bodies of requests and answers of twisted's HTTP client."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from twisted.internet import defer
from twisted.internet.protocol import Protocol, connectionDone
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from waywell.connection.body_end import BodyOutcome, classify_body_end

if TYPE_CHECKING:
    from twisted.internet.interfaces import IConsumer
    from twisted.python.failure import Failure

    from waywell.connection.client_connection import ClientResponse


@implementer(IBodyProducer)
class BytesBodyProducer:
    """A request body that is wholly in memory."""

    def __init__(self, body: bytes) -> None:
        """Keep the body."""
        self.length = len(body)
        self._body = body

    def startProducing(self, consumer: IConsumer) -> defer.Deferred[None]:  # noqa: N802
        """Write the whole body at once."""
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: all is written at the start."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: all is written at the start."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: all is written at the start."""


class _WholeBody(Protocol):
    """Gathers a body; what comes after its reader has gone is dropped."""

    def __init__(
        self, response: ClientResponse, whole: asyncio.Future[bytes]
    ) -> None:
        self._response = response
        self._whole = whole
        self._gathered = bytearray()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, WPS110
        """Gather a piece."""
        self._gathered += data

    def connectionLost(  # noqa: N802
        self,
        reason: Failure = connectionDone,
    ) -> None:
        """Tell the body, or why it is not whole."""
        if self._whole.done():
            return
        end = classify_body_end(reason, self._response.was_closed)
        if BodyOutcome(end).is_complete:
            self._whole.set_result(bytes(self._gathered))
        else:
            self._whole.set_exception(reason.value)


async def read_body(response: ClientResponse, seconds: float) -> bytes:
    """Return the body of an answer.

    Twisted's own reader fails with a traceback when a body that was given up
    ends after all.

    Parameters
    ----------
    response
        The answer, with its head read.
    seconds
        Seconds for the body to come.

    Raises
    ------
    TimeoutError
        When it has not come in time; its connection is closed then.
    """
    whole: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
    gathering = _WholeBody(response, whole)
    response.deliverBody(gathering)
    try:
        return await asyncio.wait_for(whole, seconds)
    except TimeoutError:
        transport: Any = gathering.transport
        if transport is not None:
            transport.loseConnection()
        raise
