"""Streams of messages between entry boxes, whatever carries them."""

from __future__ import annotations

import abc
from typing import Any

import msgspec


class PeerTraffic:
    """Bytes of peer messages, before framing, of this process."""

    sent = 0
    received = 0


def pack(message: Any) -> msgspec.Raw:
    """Return the bytes of a message; they can go out on many streams."""
    return msgspec.Raw(msgspec.msgpack.encode(message))


class PeerStream(abc.ABC):
    """One stream to another entry box."""

    @abc.abstractmethod
    def send(self, packed: msgspec.Raw) -> None:
        """Send a message; a stream whose peer does not read is closed."""

    @abc.abstractmethod
    def close(self) -> None:
        """Break the stream; its listener hears of the end."""


class StreamListener(abc.ABC):
    """Takes in what happens on one stream."""

    @abc.abstractmethod
    def on_open(self, stream: PeerStream) -> None:
        """Take in that the stream stands."""

    @abc.abstractmethod
    def on_message(self, message: Any) -> None:
        """Take in a message."""

    @abc.abstractmethod
    def on_close(self, why: str) -> None:
        """Take in the end, once; also of a stream that never stood."""


class PeerTransport(abc.ABC):
    """Opens streams to other entry boxes."""

    @abc.abstractmethod
    def dial(
        self,
        host: str,
        port: int,
        listener: StreamListener,
    ) -> PeerStream:
        """Begin to open a stream; the listener hears what becomes of it."""
