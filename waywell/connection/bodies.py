"""Request bodies for twisted's HTTP client."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

if TYPE_CHECKING:
    from twisted.internet.interfaces import IConsumer


@implementer(IBodyProducer)
class BytesBody:
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
