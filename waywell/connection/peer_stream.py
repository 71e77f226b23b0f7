"""Interfaces of message streams between entry boxes, for any transport."""

from __future__ import annotations

import abc
from typing import Any

import msgspec


class PeerTraffic:
    """Bytes of peer messages that this process sent and received.

    They are counted without framing.
    """

    sent = 0
    received = 0


def pack(message: Any) -> msgspec.Raw:
    """Return an encoded message, which can be sent on several streams."""
    return msgspec.Raw(msgspec.msgpack.encode(message))


class PeerStream(abc.ABC):
    """Message stream to another entry box."""

    @abc.abstractmethod
    def send(self, packed: msgspec.Raw) -> None:
        """Send an encoded message.

        A stream whose peer does not read is closed.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Abort the stream; its listener is notified of the end."""


class StreamListener(abc.ABC):
    """Receives the events of one stream."""

    @abc.abstractmethod
    def on_open(self, stream: PeerStream) -> None:
        """Handle that the stream is open."""

    @abc.abstractmethod
    def on_message(self, message: Any) -> None:
        """Handle a received message."""

    @abc.abstractmethod
    def on_close(self, reason: str) -> None:
        """Handle the end of the stream.

        Called exactly once, also for a stream that never opened.
        """


class PeerTransport(abc.ABC):
    """Opens streams to other entry boxes."""

    @abc.abstractmethod
    def dial(
        self,
        host: str,
        port: int,
        listener: StreamListener,
    ) -> PeerStream:
        """Start opening a stream; the listener is notified of the outcome."""
