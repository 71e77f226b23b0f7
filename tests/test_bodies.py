"""Bodies of answers that are given up."""

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
    """An answer whose body comes as the test says."""

    def __init__(self) -> None:
        self.transport = _Transport()
        self.body: Any = None
        self.was_closed = True

    def deliverBody(self, body: Any) -> None:  # noqa: N802
        self.body = body
        body.makeConnection(self.transport)


def test_a_body_is_returned_whole() -> None:
    async def play() -> bytes:
        response = _Response()
        reading = asyncio.ensure_future(read_body(response, 20.0))
        await asyncio.sleep(0)
        response.body.dataReceived(b'a')
        response.body.dataReceived(b'b')
        response.body.connectionLost(Failure(ResponseDone()))
        return await reading

    assert asyncio.run(play()) == b'ab'


def test_a_body_that_breaks_off_is_an_error() -> None:
    async def play() -> None:
        response = _Response()
        reading = asyncio.ensure_future(read_body(response, 20.0))
        await asyncio.sleep(0)
        response.body.dataReceived(b'a')
        response.body.connectionLost(Failure(ConnectionLost()))
        await reading

    with pytest.raises(ConnectionLost):
        asyncio.run(play())


def test_a_body_that_ends_after_it_was_given_up_fails_nothing() -> None:
    async def play() -> _Response:
        response = _Response()
        with pytest.raises(TimeoutError):
            await read_body(response, 0.0)
        response.body.dataReceived(b'late')
        response.body.connectionLost(Failure(ResponseDone()))
        return response

    assert asyncio.run(play()).transport.is_closed


def test_a_body_without_a_length_ends_with_an_orderly_close() -> None:
    assert asyncio.run(_read_closed(was_closed=True)) == b'a'


def test_a_body_without_a_length_that_is_reset_is_an_error() -> None:
    with pytest.raises(PotentialDataLoss):
        asyncio.run(_read_closed(was_closed=False))


async def _read_closed(was_closed: bool) -> bytes:
    response = _Response()
    response.was_closed = was_closed
    reading = asyncio.ensure_future(read_body(response, 20.0))
    await asyncio.sleep(0)
    response.body.dataReceived(b'a')
    response.body.connectionLost(Failure(PotentialDataLoss()))
    return await reading
