"""Reader of HTTP/1.1 responses that accepts nothing but the grammar.

It shares no code with the product, whose readers and writers tests compare
with it.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

_HEAD = re.compile(
    rb'HTTP/1\.(?P<minor>\d) (?P<code>[1-5]\d\d)(?: [\t -~\x80-\xff]*)?\r?\n'
    rb"(?P<fields>(?:[!#$%&'*+\-.^`|~\w]+:[\t -~\x80-\xff]*\r?\n)*)\r?\n"
)

_CHUNK = re.compile(rb'([0-9A-Fa-f]+)\r\n')

_NO_BODY = (204, 304)

_CONNECTION_FIELDS = frozenset(
    (
        b'connection',
        b'content-length',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)


@dataclass(frozen=True)
class Response:
    """A final response.

    Parameters
    ----------
    status
        Status code.
    fields
        Names in lower case and values of the fields that concern more than
        the connection, sorted.
    body
        Decoded body, as far as it has arrived.
    is_complete
        Whether the body ended as announced.
    """

    status: int
    fields: tuple[tuple[bytes, bytes], ...]
    body: bytes
    is_complete: bool

    def find(self, name: bytes) -> bytes | None:
        """Return the value of a field; ``None`` if it is missing."""
        return dict(self.fields).get(name)


def read_response(raw: bytes) -> Response | None:
    """Return the response in all bytes of a connection that was closed.

    ``None`` stands for a head that is malformed or incomplete.
    """
    head = _HEAD.match(raw)
    while head is not None and head['code'].startswith(b'1'):
        if _find_framing(head) is None:
            return None
        raw = raw[head.end() :]
        head = _HEAD.match(raw)
    framing = None if head is None else _find_framing(head)
    if head is None or framing is None:
        return None
    status = int(head['code'])
    rest = raw[head.end() :]
    if status in _NO_BODY:
        body, is_complete = b'', True
    elif framing == 'chunked':
        body, is_complete = _read_chunks(rest)
    elif framing == 'close':
        body, is_complete = rest, True
    else:
        length = int(framing)
        body, is_complete = rest[:length], len(rest) >= length
    fields = sorted(
        (name, text)
        for name, text in _list_fields(head)
        if name not in _CONNECTION_FIELDS
    )
    return Response(status, tuple(fields), body, is_complete)


def _list_fields(head: re.Match[bytes]) -> list[tuple[bytes, bytes]]:
    pairs = [line.split(b':', 1) for line in head['fields'].splitlines()]
    return [(name.lower(), text.strip(b'\t ')) for name, text in pairs]


def _find_framing(head: re.Match[bytes]) -> str | None:
    """Return ``chunked``, ``close`` or a length; ``None`` if malformed."""
    fields = _list_fields(head)
    codings = [text for name, text in fields if name == b'transfer-encoding']
    lengths = {
        part.strip(b'\t ')
        for name, text in fields
        if name == b'content-length'
        for part in text.split(b',')
    }
    if not all(re.fullmatch(rb'\d+', length) for length in lengths):
        return None
    if len({int(length) for length in lengths}) > 1:
        return None
    if codings:
        is_chunked = [coding.lower() for coding in codings] == [b'chunked']
        return 'chunked' if is_chunked and head['minor'] != b'0' else None
    return str(int(lengths.pop())) if lengths else 'close'


def _read_chunks(raw: bytes) -> tuple[bytes, bool]:
    body = b''
    while (size := _CHUNK.match(raw)) is not None:
        length = int(size.group(1), 16)
        raw = raw[size.end() :]
        if not length:
            return body, raw.startswith(b'\r\n')
        body += raw[:length]
        if raw[length : length + 2] != b'\r\n':
            return body, False
        raw = raw[length + 2 :]
    return body, False
