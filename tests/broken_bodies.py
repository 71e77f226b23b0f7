"""Responses with complete and truncated bodies, for test servers."""

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
    """How a response delimits its body."""

    LENGTH = 'length'
    CHUNKED = 'chunked'
    CLOSE = 'close'


class Ending(enum.Enum):
    """What a server does after the last byte of a body."""

    ANNOUNCED = 'announced'
    """The announced end of the body, even if its content is truncated: the
    length is reached or the last chunk is sent.  Without a length or chunks,
    an orderly close."""

    CLOSE = 'close'
    """An orderly close without the announced length or the last chunk."""

    RESET = 'reset'
    """A reset of the connection."""


@dataclass(frozen=True)
class BodyScript:
    """A response that ends after a given part of its body.

    Parameters
    ----------
    framing
        How the response delimits its body.
    ending
        What the server does after the part.
    part
        Bytes of the body that are sent.
    content_type
        Content type; no header if empty.
    encoding
        Content encoding; no header if empty.
    pause_after
        Number of bytes after which the server waits for ``resume``.
    resume
        Event that ends the wait.
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
        """Send the response and close its connection."""
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
            # The socket stays open while a file object of it is open.
            handler.rfile.close()
            reset_connection(handler.connection)

    def encode_response(self) -> bytes:
        """Return the encoded response, for servers that send raw bytes."""
        lines = [
            'HTTP/1.1 200 OK',
            *(
                f'{name}: {text}'
                for name, text in self._make_headers().items()
            ),
        ]
        return '\r\n'.join([*lines, '\r\n']).encode() + self._encode_body()

    def _make_headers(self) -> dict[str, str]:
        headers = {'content-type': self.content_type}
        if not self.content_type:
            headers = {}
        if self.encoding:
            headers['content-encoding'] = self.encoding
        if self.framing is Framing.CHUNKED:
            return {**headers, 'transfer-encoding': 'chunked'}
        if self.framing is Framing.CLOSE:
            return {**headers, 'connection': 'close'}
        missing = 0 if self.ending is Ending.ANNOUNCED else 1
        return {**headers, 'content-length': str(len(self.part) + missing)}

    def _encode_chunk(self, raw: bytes) -> bytes:
        return b'%x\r\n%s\r\n' % (len(raw), raw)

    def _encode_body(self) -> bytes:
        if self.framing is not Framing.CHUNKED:
            return self.part
        chunk = self._encode_chunk(self.part)
        last = b'0\r\n\r\n' if self.ending is Ending.ANNOUNCED else b''
        return (chunk if self.part else b'') + last


def reset_connection(connection: socket.socket) -> None:
    """Reset a connection."""
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    connection.close()
