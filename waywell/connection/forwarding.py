"""Headers of a request that one entry box forwards through another."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from waywell.codes import Code, Ran

if TYPE_CHECKING:
    from collections.abc import Mapping

    from waywell.connection.wire_format import RawHeaders

FORWARDED_HEADER = 'waywell-forwarded'
"""Name of the entry box that forwards a request, and how many replicas the
receiver may send it to: ``NODE;SENDS``."""

CODE_HEADER = 'waywell-code'
"""Number of the result code, on refusals."""

RAN_HEADER = 'waywell-ran'
"""Whether the request ran, on refusals."""

RETRY_HEADER = 'retry-after'
"""Seconds after which a refused caller may come back."""

FORWARDED_BYTES = 512
"""Bytes that a forwarded request's head may have beyond a caller's."""


class ForwardMark(msgspec.Struct, frozen=True):
    """What an entry box says of a request that it forwards."""

    node: str
    """Name of the entry box."""

    sends: int
    """Replicas that the receiver may send it to."""

    def encode(self) -> str:
        """Return the text of the header."""
        return f'{self.node};{self.sends}'


class PeerRefusal(msgspec.Struct, frozen=True):
    """How another entry box refused a forwarded request."""

    code: Code
    """Result code."""

    ran: Ran
    """Whether the request may have run."""

    retry_after: float | None
    """Seconds after which the caller may come back, where it is told."""


def read_forward_mark(text: str) -> ForwardMark | None:
    """Return what the header of a forwarded request says."""
    node, _, sends = text.partition(';')
    if not node or not sends.isdecimal():
        return None
    return ForwardMark(node, max(1, int(sends)))


def read_refusal(headers: RawHeaders) -> PeerRefusal | None:
    """Return the refusal of another entry box; ``None`` for its answers.

    A code that this release does not know counts as an unreachable target.
    """
    texts = {
        name.decode('latin-1').lower(): text.decode('latin-1')
        for name, text in headers
    }
    if CODE_HEADER not in texts or RAN_HEADER not in texts:
        return None
    return PeerRefusal(
        _read_code(texts[CODE_HEADER]),
        _read_ran(texts[RAN_HEADER]),
        _read_seconds(texts),
    )


def _read_code(text: str) -> Code:
    known = {str(int(code)): code for code in Code}
    return known.get(text, Code.TARGET_UNREACHABLE)


def _read_ran(text: str) -> Ran:
    known = {ran.value: ran for ran in Ran}
    return known.get(text, Ran.MAY_HAVE_RUN)


def _read_seconds(texts: Mapping[str, str]) -> float | None:
    try:
        return max(0.0, float(texts[RETRY_HEADER]))
    except (KeyError, ValueError):
        return None
