"""Headers of requests that one entry box forwards to another."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from waywell.codes import Code, Ran

if TYPE_CHECKING:
    from collections.abc import Mapping

    from waywell.connection.wire_format import RawHeaders

FORWARDED_HEADER = 'waywell-forwarded'
"""Header with the name of the forwarding entry box and the number of replicas
that the receiver may send the request to: ``NODE;SENDS``."""

CODE_HEADER = 'waywell-code'
"""Header of refusals with the number of the result code."""

RAN_HEADER = 'waywell-ran'
"""Header of refusals that says whether the request ran."""

SENDS_HEADER = 'waywell-sends'
"""Header of refusals with the number of replicas that may have received the
request."""

RETRY_HEADER = 'retry-after'
"""Header of refusals with the seconds until the caller may retry."""

MAX_SENDS_DIGITS = 9
"""Largest number of digits of a number of sends."""

FORWARDING_HEADER_BYTES = 512
"""Bytes by which the head of a forwarded request may exceed that of a
caller."""


class ForwardingHeader(msgspec.Struct, frozen=True):
    """Value of the header that marks a forwarded request."""

    node: str
    """Name of the entry box that forwards the request."""

    sends: int
    """Number of replicas that the receiver may send the request to."""

    def encode(self) -> str:
        """Return the header value."""
        return f'{self.node};{self.sends}'


class PeerRefusal(msgspec.Struct, frozen=True):
    """Refusal of a forwarded request by another entry box."""

    code: Code
    """Result code of the refusal."""

    ran: Ran
    """Whether the request may have run."""

    retry_after: float | None
    """Seconds until the caller may retry; ``None`` if not given."""

    sends: int | None = None
    """Number of replicas that may have received the request; ``None`` if not
    given, as by earlier releases."""

    def count_unused(self, reserved: int) -> int:
        """Return how many of the sends reserved for the peer are left.

        Parameters
        ----------
        reserved
            Number of replicas that the peer could send the request to.
        """
        if self.ran is Ran.NOT_RUN:
            used = self.sends or 0
        else:
            used = reserved if self.sends is None else max(1, self.sends)
        return max(0, reserved - used)


def parse_forwarding_header(text: str) -> ForwardingHeader | None:
    """Return the parsed header, or ``None`` if it is malformed."""
    node, _, sends = text.partition(';')
    if not node or not sends.isdecimal():
        return None
    return ForwardingHeader(node, max(1, int(sends)))


def read_refusal(headers: RawHeaders) -> PeerRefusal | None:
    """Return the refusal in an answer, or ``None`` if it is not a refusal.

    A code that this release does not know counts as an unreachable target,
    and an unknown value of the other header as a request that may have run.
    """
    values = {
        name.decode('latin-1').lower(): text.decode('latin-1')
        for name, text in headers
    }
    if CODE_HEADER not in values or RAN_HEADER not in values:
        return None
    return PeerRefusal(
        _parse_code(values[CODE_HEADER]),
        _parse_ran(values[RAN_HEADER]),
        _parse_retry_after(values),
        _parse_sends(values.get(SENDS_HEADER, '')),
    )


def _parse_code(text: str) -> Code:
    known = {str(int(code)): code for code in Code}
    return known.get(text, Code.TARGET_UNREACHABLE)


def _parse_ran(text: str) -> Ran:
    known = {ran.value: ran for ran in Ran}
    return known.get(text, Ran.MAY_HAVE_RUN)


def _parse_sends(text: str) -> int | None:
    is_number = text.isascii() and text.isdecimal()
    return int(text) if is_number and len(text) <= MAX_SENDS_DIGITS else None


def _parse_retry_after(values: Mapping[str, str]) -> float | None:
    try:
        return max(0.0, float(values[RETRY_HEADER]))
    except (KeyError, ValueError):
        return None
