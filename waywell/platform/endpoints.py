"""Readiness and directory endpoints of the platform's protocol."""

from __future__ import annotations

from functools import partial
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec

from waywell.connection.query_site import QueryHandler, QueryResponse

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

READY_PATH = '/api/ready'
"""Path of the readiness check, which the platform calls each second."""

RESOLVE_PATH = '/api/resolve'
"""Path at which clients look up the addresses to connect to."""

MAX_ADDRESSES = 64
"""Maximum addresses in an answer; clients ignore any further ones."""


def make_ready_handlers(
    is_ready: Callable[[], bool],
) -> Mapping[str, QueryHandler]:
    """Return the handlers that report whether this node is ready."""
    return {READY_PATH: partial(_report_readiness, is_ready)}


def make_directory_handlers(
    list_addresses: Callable[[str], Sequence[str]],
    cache_seconds: float,
) -> Mapping[str, QueryHandler]:
    """Return the handlers that list the addresses clients may use.

    Parameters
    ----------
    list_addresses
        Returns the addresses for clients of a data hall.
    cache_seconds
        Seconds for which clients may cache an answer.
    """
    handler = partial(_resolve_addresses, list_addresses, cache_seconds)
    return {RESOLVE_PATH: handler}


def _report_readiness(
    is_ready: Callable[[], bool],
    _query: Mapping[str, str],
) -> QueryResponse:
    if is_ready():
        return QueryResponse(HTTPStatus.OK)
    return QueryResponse(HTTPStatus.SERVICE_UNAVAILABLE)


def _resolve_addresses(
    list_addresses: Callable[[str], Sequence[str]],
    cache_seconds: float,
    query: Mapping[str, str],
) -> QueryResponse:
    addresses = list_addresses(query.get('zone', ''))
    if not addresses:
        return QueryResponse(HTTPStatus.SERVICE_UNAVAILABLE)
    body = {
        'addresses': addresses[:MAX_ADDRESSES],
        'ttl_s': cache_seconds,
    }
    return QueryResponse(HTTPStatus.OK, msgspec.json.encode(body))
