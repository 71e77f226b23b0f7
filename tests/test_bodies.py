"""Tests of reading complete response bodies with a timeout."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from twisted.internet.error import ConnectionLost
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure
from twisted.web.client import PotentialDataLoss, ResponseDone

from waywell.connection.bodies import read_body
from waywell.connection.client_connection import (
    OversizedResponseError,
    ResponsePart,
)

LIMIT = 1000
"""Limit of the bodies, in bytes."""


class _Response:
    """Response whose body the test delivers."""

    def __init__(self) -> None:
        self.reader: Any = None
        self.was_closed = True
        self.is_aborted = False
        self.oversized_bytes: list[int] = []

    def deliverBody(self, reader: Any) -> None:  # noqa: N802
        self.reader = reader
        reader.makeConnection(StringTransport())

    def abort(self) -> None:
        self.is_aborted = True

    def abort_oversized(
        self, _part: ResponsePart, _limit: int, received: int
    ) -> None:
        self.oversized_bytes.append(received)
        self.abort()


def test_a_complete_body_is_returned() -> None:
    async def run() -> bytes:
        response = _Response()
        reading = asyncio.ensure_future(read_body(response, 20.0, LIMIT))
        await asyncio.sleep(0)
        response.reader.dataReceived(b'a')
        response.reader.dataReceived(b'b')
        response.reader.connectionLost(Failure(ResponseDone()))
        return await reading

    assert asyncio.run(run()) == b'ab'


def test_a_truncated_body_raises_an_error() -> None:
    async def run() -> None:
        response = _Response()
        reading = asyncio.ensure_future(read_body(response, 20.0, LIMIT))
        await asyncio.sleep(0)
        response.reader.dataReceived(b'a')
        response.reader.connectionLost(Failure(ConnectionLost()))
        await reading

    with pytest.raises(ConnectionLost):
        asyncio.run(run())


def test_a_body_that_ends_after_the_timeout_raises_no_error() -> None:
    async def run() -> _Response:
        response = _Response()
        with pytest.raises(TimeoutError):
            await read_body(response, 0.0, LIMIT)
        response.reader.dataReceived(b'late')
        response.reader.connectionLost(Failure(ResponseDone()))
        return response

    assert asyncio.run(run()).is_aborted


def test_a_body_whose_reader_is_cancelled_is_aborted() -> None:
    async def run() -> _Response:
        response = _Response()
        reading = asyncio.ensure_future(read_body(response, 20.0, LIMIT))
        await asyncio.sleep(0)
        reading.cancel()
        with pytest.raises(asyncio.CancelledError):
            await reading
        return response

    assert asyncio.run(run()).is_aborted


def test_a_body_at_the_limit_is_returned() -> None:
    async def run() -> bytes:
        response = _Response()
        reading = asyncio.ensure_future(read_body(response, 20.0, LIMIT))
        await asyncio.sleep(0)
        response.reader.dataReceived(bytes(LIMIT - 1))
        response.reader.dataReceived(b'b')
        response.reader.connectionLost(Failure(ResponseDone()))
        return await reading

    assert len(asyncio.run(run())) == LIMIT


def test_a_body_over_the_limit_raises_an_error_and_is_aborted_once() -> None:
    async def run() -> _Response:
        response = _Response()
        reading = asyncio.ensure_future(read_body(response, 20.0, LIMIT))
        await asyncio.sleep(0)
        response.reader.dataReceived(bytes(LIMIT))
        assert not response.is_aborted
        response.reader.dataReceived(b'b')
        response.reader.dataReceived(b'c')
        with pytest.raises(OversizedResponseError):
            await reading
        response.reader.connectionLost(Failure(ConnectionLost()))
        return response

    response = asyncio.run(run())
    assert response.is_aborted
    assert response.oversized_bytes == [LIMIT + 1]


def test_a_body_without_length_is_complete_after_an_orderly_close() -> None:
    assert asyncio.run(_read_body_without_length(was_closed=True)) == b'a'


def test_a_body_without_length_raises_an_error_after_a_reset() -> None:
    with pytest.raises(PotentialDataLoss):
        asyncio.run(_read_body_without_length(was_closed=False))


async def _read_body_without_length(was_closed: bool) -> bytes:
    response = _Response()
    response.was_closed = was_closed
    reading = asyncio.ensure_future(read_body(response, 20.0, LIMIT))
    await asyncio.sleep(0)
    response.reader.dataReceived(b'a')
    response.reader.connectionLost(Failure(PotentialDataLoss()))
    return await reading
