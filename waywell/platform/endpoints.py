"""The calls of clients and of the platform that are answered at once."""

from __future__ import annotations

from functools import partial
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec

from waywell.connection.desk import DeskAnswer, DeskHandler

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

READY_PATH = '/api/ready'
"""Asked by the platform each second."""

RESOLVE_PATH = '/api/resolve'
"""Asked by clients, for the addresses to connect to."""


MAX_ADDRESSES = 64
"""Addresses of one answer that clients take notice of."""


def make_ready_handlers(
    is_ready: Callable[[], bool],
) -> Mapping[str, DeskHandler]:
    """Return what answers whether this node is ready."""
    return {READY_PATH: partial(_answer_ready, is_ready)}


def make_directory_handlers(
    list_addresses: Callable[[str], Sequence[str]],
    keep_seconds: float,
) -> Mapping[str, DeskHandler]:
    """Return what answers which addresses clients may use."""
    answer = partial(_answer_directory, list_addresses, keep_seconds)
    return {RESOLVE_PATH: answer}


def _answer_ready(
    is_ready: Callable[[], bool],
    _query: Mapping[str, str],
) -> DeskAnswer:
    if is_ready():
        return DeskAnswer(HTTPStatus.OK)
    return DeskAnswer(HTTPStatus.SERVICE_UNAVAILABLE)


def _answer_directory(
    list_addresses: Callable[[str], Sequence[str]],
    keep_seconds: float,
    query: Mapping[str, str],
) -> DeskAnswer:
    addresses = list_addresses(query.get('zone', ''))
    if not addresses:
        return DeskAnswer(HTTPStatus.SERVICE_UNAVAILABLE)
    body = {
        'addresses': addresses[:MAX_ADDRESSES],
        'ttl_s': keep_seconds,
    }
    return DeskAnswer(HTTPStatus.OK, msgspec.json.encode(body))
