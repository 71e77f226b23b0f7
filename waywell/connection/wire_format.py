"""How requests and answers look on the wire, for callers and replicas."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from waywell.connection.forwarding import ForwardMark
    from waywell.request.ask import AnswerMark, Ask, Delivery
    from waywell.version.fleet import FleetBox

RawHeaders = tuple[tuple[bytes, bytes], ...]
"""Header names and values in the order in which they came."""


class WireFormat(abc.ABC):
    """Decodes asks and answers; another protocol is another subclass."""

    @abc.abstractmethod
    def read_request(
        self,
        method: str,
        target: str,
        headers: RawHeaders,
        body: bytes,
    ) -> Ask:
        """Return what a caller asks.

        Raises
        ------
        waywell.codes.Refusal
            When a header is not understood.
        """

    @abc.abstractmethod
    def make_headers(
        self,
        ask: Ask,
        delivery: Delivery,
        box: FleetBox,
    ) -> RawHeaders:
        """Return the headers of a request to a replica's head."""

    @abc.abstractmethod
    def make_forward_headers(
        self,
        ask: Ask,
        mark: ForwardMark,
        seconds: float,
        resume_after: int | None,
    ) -> RawHeaders:
        """Return the headers of a request to another entry box.

        Parameters
        ----------
        ask
            What the caller asks.
        mark
            Who forwards it.
        seconds
            For which the caller will still wait.
        resume_after
            Last event that the caller has by now.
        """

    @abc.abstractmethod
    def read_mark(self, status: int, headers: RawHeaders) -> AnswerMark:
        """Return what a replica says of its answer."""
