"""Answers that never end, for test servers."""

from __future__ import annotations

import enum
import threading
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from http.server import BaseHTTPRequestHandler

MAX_TOTAL_BYTES = 600_000_000
"""Bytes after which an answer is given up, so that a failing test ends."""

_STATUS = b'HTTP/1.1 200 OK\r\n'

_CHUNKED = b'transfer-encoding: chunked\r\n\r\n'

_FILLER = b'a' * 8192


class Shape(enum.Enum):
    """Part of an answer that never ends: begin, own headers, repetition."""

    STATUS_LINE = (b'HTTP/1.1 200 ', b'', _FILLER)
    HEADER_LINE = (b'HTTP/1.1 200 OK\r\nx: ', b'', _FILLER)
    HEADER_LINES = (_STATUS, b'', b'x-name: %s\r\n' % _FILLER)
    SHORT_HEADER_LINES = (_STATUS, b'', b'x:\n' * 2000)
    CONTINUED_HEADER = (
        b'HTTP/1.1 200 OK\r\nx: a\r\n',
        b'',
        b' %s\r\n' % _FILLER,
    )
    INTERIM = (b'', b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 300)
    INTERIM_HEADERS = (
        b'HTTP/1.1 103 Early Hints\r\n',
        b'',
        b'x-name: %s\r\n' % _FILLER,
    )
    CHUNK_LENGTH = (_STATUS, _CHUNKED, b'0' * 8192)
    CHUNK_EXTENSION = (_STATUS, b'%s1;' % _CHUNKED, _FILLER)
    TRAILERS = (_STATUS, b'%s0\r\n' % _CHUNKED, b'x-name: %s\r\n' % _FILLER)
    BODY_WITH_LENGTH = (
        _STATUS,
        b'content-length: 999999999999\r\n\r\n',
        _FILLER,
    )
    BODY_IN_CHUNKS = (_STATUS, _CHUNKED, b'2000\r\n%s\r\n' % _FILLER)
    BODY_UNTIL_CLOSE = (_STATUS, b'connection: close\r\n\r\n', _FILLER)
    EVENT = (
        _STATUS,
        b'content-type: text/event-stream\r\n'
        b'connection: close\r\n\r\nid: 1\ndata: ',
        _FILLER,
    )
    EVENT_LINES = (
        _STATUS,
        b'content-type: text/event-stream\r\n%s' % _CHUNKED,
        b'2000\r\ndata:%s\r\n' % (b'a' * 8186 + b'\n'),
    )
    COMMENT = (
        _STATUS,
        b'content-type: text/event-stream\r\nconnection: close\r\n\r\n: ',
        _FILLER,
    )

    @property
    def begin(self) -> bytes:
        """Return the bytes before other headers."""
        return self.value[0]

    @property
    def own_headers(self) -> bytes:
        """Return the headers that end the head; empty if it never ends."""
        return self.value[1]

    @property
    def repeated(self) -> bytes:
        """Return the bytes that are sent again and again."""
        return self.value[2]

    def make_begin(self, headers: dict[str, str]) -> bytes:
        """Return the bytes before the part that never ends."""
        lines = [f'{name}: {text}\r\n' for name, text in headers.items()]
        joined = ''.join(lines).encode() if self.own_headers else b''
        return self.begin + joined + self.own_headers


ENDLESS_HEADS = [shape for shape in Shape if not shape.own_headers]

ENDLESS_FRAMING = [Shape.CHUNK_LENGTH, Shape.CHUNK_EXTENSION, Shape.TRAILERS]

ENDLESS_BODIES = [
    Shape.BODY_WITH_LENGTH,
    Shape.BODY_IN_CHUNKS,
    Shape.BODY_UNTIL_CLOSE,
]

ENDLESS_EVENTS = [Shape.EVENT, Shape.EVENT_LINES, Shape.COMMENT]


@dataclass
class EndlessAnswer:
    """Answers without end until the other side closes the connection.

    Parameters
    ----------
    shape
        Part of the answers that never ends.
    closed
        Bytes sent on each connection that the other side has closed.
    open_count
        Number of connections on which an answer is being sent.
    total
        Bytes sent on all connections.
    """

    shape: Shape
    closed: list[int] = field(default_factory=list)
    open_count: int = 0
    total: int = 0
    _lock: threading.Lock = field(default_factory=threading.Lock)

    @property
    def has_reached_maximum(self) -> bool:
        """Return whether sending was given up."""
        return self.total >= MAX_TOTAL_BYTES

    def send_response(
        self, handler: BaseHTTPRequestHandler, headers: dict[str, str]
    ) -> None:
        """Send an answer until the other side closes its connection."""
        handler.close_connection = True
        with self._lock:
            self.open_count += 1
        sent = 0
        piece = self.shape.make_begin(headers)
        try:
            while not self.has_reached_maximum:
                handler.connection.sendall(piece)
                sent += len(piece)
                with self._lock:
                    self.total += len(piece)
                piece = self.shape.repeated
        except ConnectionError:
            self.closed.append(sent)
        finally:
            with self._lock:
                self.open_count -= 1
