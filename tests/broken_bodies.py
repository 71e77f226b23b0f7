"""Ways in which a response can end, for servers of the tests."""

from __future__ import annotations

import enum
import socket
import struct
import threading
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from http.server import BaseHTTPRequestHandler


class Framing(enum.Enum):
    """How a response tells where its body ends."""

    LENGTH = 'length'
    CHUNKED = 'chunked'
    CLOSE = 'close'


class Ending(enum.Enum):
    """What follows the last byte of a body."""

    ANNOUNCED = 'announced'
    """The announced end, whatever was sent: the length is reached, or the
    last chunk follows; without either, an orderly close."""

    CLOSE = 'close'
    """An orderly close; a length or a last chunk is left open."""

    RESET = 'reset'
    """A reset."""


@dataclass(frozen=True)
class BodyScript:
    """A response that ends after a part of its body.

    Parameters
    ----------
    framing
        How it tells where its body ends.
    ending
        What follows the part.
    part
        The bytes that are sent.
    content_type
        Content type; empty for none.
    encoding
        Content encoding; empty for none.
    pause_after
        Bytes after which the rest waits until it is told to go on.
    """

    framing: Framing
    ending: Ending
    part: bytes
    content_type: str = 'text/event-stream'
    encoding: str = ''
    pause_after: int = 0
    resume: threading.Event = field(default_factory=threading.Event)

    def send_response(
        self, handler: BaseHTTPRequestHandler, headers: dict[str, str]
    ) -> None:
        """Send the response, and close its connection."""
        handler.close_connection = True
        handler.send_response(200)
        for name, text in {**headers, **self._make_headers()}.items():
            handler.send_header(name, text)
        handler.end_headers()
        if self.pause_after:
            handler.wfile.write(
                self._encode_chunk(self.part[: self.pause_after])
            )
            self.resume.wait(20)
        else:
            handler.wfile.write(self._encode_body())
        if self.ending is Ending.RESET:
            # The socket stays open as long as a file of it does.
            handler.rfile.close()
            reset_connection(handler.connection)

    def encode_response(self) -> bytes:
        """Return the response as bytes, for a server that sends only those."""
        lines = [
            'HTTP/1.1 200 OK',
            *(
                f'{name}: {text}'
                for name, text in self._make_headers().items()
            ),
        ]
        return '\r\n'.join([*lines, '\r\n']).encode() + self._encode_body()

    def _make_headers(self) -> dict[str, str]:
        framed = {'content-type': self.content_type}
        if not self.content_type:
            framed = {}
        if self.encoding:
            framed['content-encoding'] = self.encoding
        if self.framing is Framing.CHUNKED:
            return {**framed, 'transfer-encoding': 'chunked'}
        if self.framing is Framing.CLOSE:
            return {**framed, 'connection': 'close'}
        missing = 0 if self.ending is Ending.ANNOUNCED else 1
        return {**framed, 'content-length': str(len(self.part) + missing)}

    def _encode_chunk(self, raw: bytes) -> bytes:
        return b'%x\r\n%s\r\n' % (len(raw), raw)

    def _encode_body(self) -> bytes:
        if self.framing is not Framing.CHUNKED:
            return self.part
        chunk = self._encode_chunk(self.part)
        last = b'0\r\n\r\n' if self.ending is Ending.ANNOUNCED else b''
        return (chunk if self.part else b'') + last


def reset_connection(line: socket.socket) -> None:
    """Close a connection with a reset."""
    line.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    line.close()
