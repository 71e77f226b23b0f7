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
    folded lines, which it lets gateways reject: lines that end with LF, and
    no blank before an empty reason phrase.
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
        self._has_status = False
        self._is_interim = False

    def _check_line(self, line: bytes) -> None:
        if self._has_status and line:
            self._check_field(line)
        elif self._has_status:
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
        self._has_status = True
        self._is_interim = code.startswith(b'1')

    def _check_field(self, line: bytes) -> None:
        if line.startswith((b' ', b'\t')):
            raise MalformedHeadError(HeadFault.FOLDED_LINE)
        name, colon, text = line.partition(b':')
        if not colon or not _FIELD_NAME.fullmatch(name):
            raise MalformedHeadError(HeadFault.FIELD_NAME)
        if not _TEXT.fullmatch(text):
            raise MalformedHeadError(HeadFault.FIELD_VALUE)

    def _end_head(self) -> None:
        if self._is_interim:
            self._begin_head()
        else:
            self.is_complete = True
