"""Wire format of requests and answers, for callers and replicas."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from waywell.connection.forwarding import ForwardingHeader
    from waywell.request.decoded_request import (
        AnswerMetadata,
        DecodedRequest,
        DeliveryParameters,
    )
    from waywell.version.fleet import FleetBox

RawHeaders = tuple[tuple[bytes, bytes], ...]
"""Names and values of headers, in the order of arrival."""


class WireFormat(abc.ABC):
    """Decodes and encodes request and answer headers.

    Each protocol of callers and replicas has its own subclass.
    """

    @abc.abstractmethod
    def read_request(
        self,
        method: str,
        target: str,
        headers: RawHeaders,
        body: bytes,
    ) -> DecodedRequest:
        """Decode the request of a caller.

        Raises
        ------
        waywell.codes.Refusal
            If a header is malformed.
        """

    @abc.abstractmethod
    def make_headers(
        self,
        request: DecodedRequest,
        delivery: DeliveryParameters,
        box: FleetBox,
    ) -> RawHeaders:
        """Return the headers of a request to the head box of a replica."""

    @abc.abstractmethod
    def make_forward_headers(
        self,
        request: DecodedRequest,
        mark: ForwardingHeader,
        seconds: float,
        resume_after: int | None,
    ) -> RawHeaders:
        """Return the headers of a request to another entry box.

        Parameters
        ----------
        request
            Request of the caller.
        mark
            Name of the forwarding node, and the number of replicas to which
            the receiver may send the request.
        seconds
            Seconds for which the caller will still wait.
        resume_after
            Number of the last event that the caller has received, or
            ``None`` for none.
        """

    @abc.abstractmethod
    def read_metadata(
        self, status: int, headers: RawHeaders
    ) -> AnswerMetadata:
        """Decode what a replica reports about its answer."""
