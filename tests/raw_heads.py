"""Responses whose heads are sent byte by byte as given, for test servers."""

from __future__ import annotations

import threading
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from http.server import BaseHTTPRequestHandler

PLAIN_BODY = b'the whole answer'
"""Body of a plain answer."""

CHUNKED_BODY = b'%x\r\n%s\r\n0\r\n\r\n' % (len(PLAIN_BODY), PLAIN_BODY)

LENGTH_FIELD = b'content-length: %d' % len(PLAIN_BODY)


@dataclass(frozen=True)
class RawAnswer:
    """Answer with a head of any bytes.

    Parameters
    ----------
    status_line
        First line of the final response, without its end.
    fields
        Lines between the headers of the test server and the framing.
    first_fields
        Lines before the headers of the test server.
    framing
        Lines that frame the body.
    body
        Encoded body.
    interim
        Bytes before the status line.
    line_end
        End of each line of the final response.
    sent
        Number of bytes after which the connection is closed; all if ``None``.
    sent_count
        Released once for each answer that was sent.
    """

    status_line: bytes = b'HTTP/1.1 200 OK'
    fields: tuple[bytes, ...] = ()
    first_fields: tuple[bytes, ...] = ()
    framing: tuple[bytes, ...] = (LENGTH_FIELD,)
    body: bytes = PLAIN_BODY
    interim: bytes = b''
    line_end: bytes = b'\r\n'
    sent: int | None = None
    sent_count: threading.Semaphore = field(
        default_factory=lambda: threading.Semaphore(0), compare=False
    )

    def encode_head(self, headers: Mapping[str, str] | None = None) -> bytes:
        """Return the bytes of the head, with headers of the test server."""
        own = [
            f'{name}: {text}'.encode()
            for name, text in (headers or {}).items()
        ]
        lines = (
            self.status_line,
            *self.first_fields,
            *own,
            *self.fields,
            *self.framing,
            b'',
            b'',
        )
        return self.interim + self.line_end.join(lines)

    def encode_response(
        self, headers: Mapping[str, str] | None = None
    ) -> bytes:
        """Return the bytes that are sent."""
        return (self.encode_head(headers) + self.body)[: self.sent]

    def send_response(
        self, handler: BaseHTTPRequestHandler, headers: dict[str, str]
    ) -> None:
        """Send the answer and close its connection."""
        handler.close_connection = True
        self.sent_count.release()
        try:
            handler.connection.sendall(self.encode_response(headers))
        except ConnectionError:
            # The other side may abort on a part of the head.
            return


@dataclass(frozen=True)
class FixedAnswer(RawAnswer):
    """Answer of given bytes, without headers of the test server.

    Parameters
    ----------
    raw
        All bytes of the answer.
    """

    raw: bytes = b''

    def encode_response(
        self, headers: Mapping[str, str] | None = None
    ) -> bytes:
        """Return the given bytes."""
        return self.raw


def make_chunked(*codings: bytes, version: bytes = b'HTTP/1.1') -> RawAnswer:
    """Return a chunked answer with some ``Transfer-Encoding`` lines."""
    framing = tuple(b'transfer-encoding: %s' % coding for coding in codings)
    return RawAnswer(version + b' 200 OK', framing=framing, body=CHUNKED_BODY)


def make_length(*lengths: bytes) -> RawAnswer:
    """Return an answer with some ``Content-Length`` lines."""
    framing = tuple(b'content-length: %s' % length for length in lengths)
    return RawAnswer(framing=framing)


MALFORMED_STATUS_CODES = {
    code.decode('latin-1'): RawAnswer(b'HTTP/1.1 %s Odd' % code)
    for code in (
        b'000', b'0', b'099', b'600', b'999', b'1000', b'0200', b'20', b'2',
        b'+20', b'+200', b'-200', b'2_0', b'2x0', b'20.', b'\xb2\xb0\xb0',
    )
}  # fmt: skip

MALFORMED_VERSIONS = {
    version.decode(): RawAnswer(version + b' 200 OK')
    for version in (
        b'HTTP/2.0', b'HTTP/2', b'HTTP/0.9', b'HTTP/1', b'HTTP/1.10',
        b'HTTP/01.1', b'HTTP/+1.1', b'HTTP/1.1.1', b'HTTP/ 1.1', b'http/1.1',
        b'XTTP/1.1', b'/1.1', b'ICY',
    )
}  # fmt: skip

MALFORMED_SEPARATORS = {
    name: RawAnswer(line)
    for name, line in {
        'empty line first': b'\r\nHTTP/1.1 200 OK',
        'blank first': b' HTTP/1.1 200 OK',
        'two blanks': b'HTTP/1.1  200 OK',
        'tab before the code': b'HTTP/1.1\t200 OK',
        'tab after the code': b'HTTP/1.1 200\tOK',
        'no blank before the code': b'HTTP/1.1200 OK',
        'no blank after the code': b'HTTP/1.1 200OK',
        'no code': b'HTTP/1.1',
        'blank without a code': b'HTTP/1.1 ',
        'phrase without a code': b'HTTP/1.1 OK',
        'vertical tab': b'HTTP/1.1 200\x0bOK',
    }.items()
}

CONTROL_BYTES = (b'\x00', b'\x01', b'\x08', b'\x0b', b'\x0c', b'\r', b'\x1b',
                 b'\x1f', b'\x7f')  # fmt: skip

MALFORMED_PHRASES = {
    f'phrase {byte!r}': RawAnswer(b'HTTP/1.1 200 O%sK' % byte)
    for byte in CONTROL_BYTES
}

MALFORMED_VALUES = {
    **{
        f'value {byte!r}': RawAnswer(fields=(b'x-note: a%sb' % byte,))
        for byte in CONTROL_BYTES
    },
    'value that begins with a control byte': RawAnswer(
        fields=(b'x-note: \x0ba',)
    ),
    'value that ends with a control byte': RawAnswer(
        fields=(b'x-note: a\x0c',)
    ),
    'value with a second CR at its end': RawAnswer(fields=(b'x-note: a\r',)),
}

FOLDED_LINES = {
    'blank before a name': RawAnswer(fields=(b'x-first: 1', b' x-note: 1')),
    'tab before a name': RawAnswer(fields=(b'x-first: 1', b'\tx-note: 1')),
    'folded value': RawAnswer(fields=(b'x-note: 1,', b'  2')),
    'folded coding': RawAnswer(
        framing=(b'transfer-encoding: chunked', b' , gzip'), body=CHUNKED_BODY
    ),
    'fold before the first field': RawAnswer(first_fields=(b' x-note: 1',)),
    'line of a blank': RawAnswer(fields=(b'x-first: 1', b' ')),
}

MALFORMED_NAMES = {
    name: RawAnswer(fields=(line,))
    for name, line in {
        'blank in a name': b'x note: 1',
        'blank after a name': b'x-note : 1',
        'tab after a name': b'x-note\t: 1',
        'zero byte in a name': b'x\x00note: 1',
        'control byte in a name': b'x\x01note: 1',
        'control byte before a name': b'\x0bx-note: 1',
        'CR in a name': b'x\rnote: 1',
        'delete in a name': b'x\x7fnote: 1',
        'byte over 0x7F in a name': b'x-n\xf6te: 1',
        'delimiter in a name': b'x(note): 1',
        'no name': b': 1',
        'no colon': b'x-note',
        'line of a CR': b'\r',
    }.items()
}

MALFORMED_CODINGS = {
    'gzip': make_chunked(b'gzip'),
    'identity': make_chunked(b'identity'),
    'no coding': make_chunked(b''),
    'unknown coding': make_chunked(b'xchunked'),
    'gzip, chunked': make_chunked(b'gzip, chunked'),
    'chunked, gzip': make_chunked(b'chunked, gzip'),
    'chunked twice': make_chunked(b'chunked, chunked'),
    'chunked; parameter': make_chunked(b'chunked;a=b'),
    'chunked in quotes': make_chunked(b'"chunked"'),
    'lines gzip and chunked': make_chunked(b'gzip', b'chunked'),
    'lines chunked and gzip': make_chunked(b'chunked', b'gzip'),
    'lines chunked twice': make_chunked(b'chunked', b'chunked'),
    'chunked in HTTP/1.0': make_chunked(b'chunked', version=b'HTTP/1.0'),
}

MALFORMED_LENGTHS = {
    'no length': make_length(b''),
    'letters': make_length(b'abc'),
    'negative': make_length(b'-16'),
    'sign': make_length(b'+16'),
    'hexadecimal': make_length(b'0x10'),
    'underscore': make_length(b'1_6'),
    'fraction': make_length(b'16.0'),
    'two numbers': make_length(b'16 16'),
    'different lengths': make_length(b'16, 15'),
    'lines of different lengths': make_length(b'15', b'16'),
    'a length and an empty line': make_length(b'16', b''),
}

MALFORMED_INTERIMS = {
    f'interim: {name}': RawAnswer(interim=interim)
    for name, interim in {
        'version': b'HTTP/2.0 100 Continue\r\n\r\n',
        'code': b'HTTP/1.1 0100 Continue\r\n\r\n',
        'phrase': b'HTTP/1.1 100 Con\x00tinue\r\n\r\n',
        'value': b'HTTP/1.1 103 Early Hints\r\nlink: a\x01b\r\n\r\n',
        'name': b'HTTP/1.1 103 Early Hints\r\nli nk: a\r\n\r\n',
        'fold': b'HTTP/1.1 103 Early Hints\r\nlink: a\r\n b\r\n\r\n',
        'coding': b'HTTP/1.1 100 Continue\r\ntransfer-encoding: gzip\r\n\r\n',
    }.items()
}

MALFORMED_HEADS = {
    **MALFORMED_STATUS_CODES,
    **MALFORMED_VERSIONS,
    **MALFORMED_SEPARATORS,
    **MALFORMED_PHRASES,
    **MALFORMED_VALUES,
    **FOLDED_LINES,
    **MALFORMED_NAMES,
    **MALFORMED_CODINGS,
    **{f'length: {name}': raw for name, raw in MALFORMED_LENGTHS.items()},
    **MALFORMED_INTERIMS,
}
"""Answers that are no HTTP/1.1, by what is wrong with them."""

TOKEN = b"!#$%&'*+-.^_`|~09azAZ"
"""Name of a field with each kind of byte that a name may have."""

UNUSUAL_HEADS = {
    'no phrase': RawAnswer(b'HTTP/1.1 200 '),
    'no phrase and no blank': RawAnswer(b'HTTP/1.1 200'),
    'phrase of blanks': RawAnswer(b'HTTP/1.1 200  \t '),
    'phrase over 0x7F': RawAnswer(b'HTTP/1.1 200 D\xe5\x80\xff'),
    'HTTP/1.0': RawAnswer(b'HTTP/1.0 200 OK'),
    'later minor version': RawAnswer(b'HTTP/1.9 200 OK'),
    'value over 0x7F': RawAnswer(fields=(b'x-note: \x80 \xff',)),
    'tab in a value': RawAnswer(fields=(b'x-note: a\tb',)),
    'empty value': RawAnswer(fields=(b'x-note:',)),
    'blanks around a value': RawAnswer(fields=(b'x-note: \t a \t ',)),
    'no blank before a value': RawAnswer(fields=(b'x-note:a',)),
    'colons in a value': RawAnswer(fields=(b'x-note: a: b : c',)),
    'repeated field': RawAnswer(fields=(b'x-note: a', b'x-note: b')),
    'any token as a name': RawAnswer(fields=(TOKEN + b': a',)),
    'lines that end with LF': RawAnswer(line_end=b'\n'),
    'interim response': RawAnswer(interim=b'HTTP/1.1 100 Continue\r\n\r\n'),
    'interim responses': RawAnswer(
        interim=b'HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n'
        b'HTTP/1.0 199\nx:\n\n'
    ),
    'coding in capitals': make_chunked(b'Chunked'),
    'repeated length': make_length(b'16, 16'),
    'lines of one length': make_length(b'16', b'16'),
    'length with zeros': make_length(b'0016'),
    'length beside chunks': RawAnswer(
        framing=(b'transfer-encoding: chunked', b'content-length: 3'),
        body=CHUNKED_BODY,
    ),
    'no framing': RawAnswer(framing=(b'connection: close',)),
}
"""Answers that are unusual but allowed, by what is unusual."""
