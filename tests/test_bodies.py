"""Tests of reading complete response bodies with a timeout."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure
from twisted.web.client import PotentialDataLoss, ResponseDone

from waywell.connection.bodies import read_body


class _Transport:
    is_closed = False

    def loseConnection(self) -> None:  # noqa: N802
        self.is_closed = True


class _Response:
    """Response whose body the test delivers."""

    def __init__(self) -> None:
        self.transport = _Transport()
        self.reader: Any = None
        self.was_closed = True

    def deliverBody(self, reader: Any) -> None:  # noqa: N802
        self.reader = reader
        reader.makeConnection(self.transport)


def test_a_complete_body_is_returned() -> None:
    async def run() -> bytes:
        response = _Response()
        reading = asyncio.ensure_future(read_body(response, 20.0))
        await asyncio.sleep(0)
        response.reader.dataReceived(b'a')
        response.reader.dataReceived(b'b')
        response.reader.connectionLost(Failure(ResponseDone()))
        return await reading

    assert asyncio.run(run()) == b'ab'


def test_a_truncated_body_raises_an_error() -> None:
    async def run() -> None:
        response = _Response()
        reading = asyncio.ensure_future(read_body(response, 20.0))
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
            await read_body(response, 0.0)
        response.reader.dataReceived(b'late')
        response.reader.connectionLost(Failure(ResponseDone()))
        return response

    assert asyncio.run(run()).transport.is_closed


def test_a_body_without_length_is_complete_after_an_orderly_close() -> None:
    assert asyncio.run(_read_body_without_length(was_closed=True)) == b'a'


def test_a_body_without_length_raises_an_error_after_a_reset() -> None:
    with pytest.raises(PotentialDataLoss):
        asyncio.run(_read_body_without_length(was_closed=False))


async def _read_body_without_length(was_closed: bool) -> bytes:
    response = _Response()
    response.was_closed = was_closed
    reading = asyncio.ensure_future(read_body(response, 20.0))
    await asyncio.sleep(0)
    response.reader.dataReceived(b'a')
    response.reader.connectionLost(Failure(PotentialDataLoss()))
    return await reading
