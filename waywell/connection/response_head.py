"""Grammar of the heads of HTTP/1.1 responses, by RFC 9110 and RFC 9112.

The client of twisted accepts heads that HTTP/1.1 does not allow.  Passed on,
they would reach callers as answers that a server never gave.
"""

from __future__ import annotations

import enum
import re

_STATUS_LINE = re.compile(rb'([^ ]+) ([^ ]+)(?: (.*))?', re.DOTALL)

_VERSION = re.compile(rb'HTTP/1\.[0-9]')

_STATUS_CODE = re.compile(rb'[1-5][0-9]{2}')

_FIELD_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")

_TEXT = re.compile(rb'[\t\x20-\x7e\x80-\xff]*')
"""Reason phrase, or value of a field with the blanks around it."""

_BLANKS = b' \t'

_VERSION_WITHOUT_CODINGS = b'HTTP/1.0'


class HeadFault(enum.Enum):
    """Part of a response head that is malformed."""

    STATUS_LINE = 'status_line'
    """Separators of the status line."""

    VERSION = 'version'
    """HTTP version; only 1.x is accepted."""

    STATUS_CODE = 'status_code'
    """Status code: three digits, from 100 to 599."""

    REASON_PHRASE = 'reason_phrase'
    """Reason phrase, for a control byte."""

    FOLDED_LINE = 'folded_line'
    """Line that begins with a blank."""

    FIELD_NAME = 'field_name'
    """Name of a field, or the colon behind it."""

    FIELD_VALUE = 'field_value'
    """Value of a field, for a control byte."""

    TRANSFER_ENCODING = 'transfer_encoding'
    """Transfer codings other than a single ``chunked``."""

    CONTENT_LENGTH = 'content_length'
    """Content length that is not one decimal number."""


class MalformedHeadError(Exception):
    """The head of a response is not valid HTTP/1.1.

    Parameters
    ----------
    fault
        Part that is malformed.
    """

    def __init__(self, fault: HeadFault) -> None:
        """Keep the malformed part."""
        super().__init__(fault.value)
        self.fault = fault


class HeadChecker:
    """Checks the head of a response and of the interim responses before it.

    Deviations that RFC 9112 lets recipients accept are accepted, except for
    folded lines, which it lets gateways reject: lines that end with LF, no
    blank before an empty reason phrase, and a repeated content length.
    """

    def __init__(self) -> None:
        """Expect the first byte of a status line."""
        self.is_complete = False
        self._partial_line = b''
        self._begin_head()

    def feed(self, raw: bytes) -> None:
        """Check the lines that are complete with the next bytes.

        Bytes after the head are ignored.

        Raises
        ------
        MalformedHeadError
            If a line is malformed.
        """
        lines = (self._partial_line + raw).split(b'\n')
        self._partial_line = lines.pop()
        for line in lines:
            if self.is_complete:
                return
            self._check_line(line.removesuffix(b'\r'))

    def _begin_head(self) -> None:
        self._version = b''
        self._is_interim = False
        self._codings: list[bytes] = []
        self._lengths: list[bytes] = []

    def _check_line(self, line: bytes) -> None:
        if self._version and line:
            self._check_field(line)
        elif self._version:
            self._end_head()
        else:
            self._check_status_line(line)

    def _check_status_line(self, line: bytes) -> None:
        match = _STATUS_LINE.fullmatch(line)
        if match is None:
            raise MalformedHeadError(HeadFault.STATUS_LINE)
        version, code, phrase = match.groups(b'')
        if not _VERSION.fullmatch(version):
            raise MalformedHeadError(HeadFault.VERSION)
        if not _STATUS_CODE.fullmatch(code):
            raise MalformedHeadError(HeadFault.STATUS_CODE)
        if not _TEXT.fullmatch(phrase):
            raise MalformedHeadError(HeadFault.REASON_PHRASE)
        self._version = version
        self._is_interim = code.startswith(b'1')

    def _check_field(self, line: bytes) -> None:
        if line.startswith((b' ', b'\t')):
            raise MalformedHeadError(HeadFault.FOLDED_LINE)
        name, colon, text = line.partition(b':')
        if not colon or not _FIELD_NAME.fullmatch(name):
            raise MalformedHeadError(HeadFault.FIELD_NAME)
        if not _TEXT.fullmatch(text):
            raise MalformedHeadError(HeadFault.FIELD_VALUE)
        lower_name = name.lower()
        if lower_name == b'transfer-encoding':
            self._codings.append(text)
        elif lower_name == b'content-length':
            self._lengths.append(text)

    def _end_head(self) -> None:
        if self._codings and not self._is_chunked_only():
            raise MalformedHeadError(HeadFault.TRANSFER_ENCODING)
        if self._lengths and not self._has_one_length():
            raise MalformedHeadError(HeadFault.CONTENT_LENGTH)
        if self._is_interim:
            self._begin_head()
        else:
            self.is_complete = True

    def _is_chunked_only(self) -> bool:
        """Return whether ``chunked`` is the only coding.

        No other can be decoded, and requests ask for no other.
        """
        codings = b','.join(self._codings).strip(_BLANKS).lower()
        return (
            codings == b'chunked' and self._version != _VERSION_WITHOUT_CODINGS
        )

    def _has_one_length(self) -> bool:
        lengths = [
            length.strip(_BLANKS)
            for length in b','.join(self._lengths).split(b',')
        ]
        if not all(length.isdigit() for length in lengths):
            return False
        return len({length.lstrip(b'0') for length in lengths}) == 1
