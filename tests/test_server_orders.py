"""What an order's outcome says of the box, and what it does not."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from returns.result import Failure, Result, Success

from tests.boxes import make_group
from waywell.connection.http_client import HttpResponse
from waywell.connection.platform import PlatformFault
from waywell.ids import Epoch, ModelName
from waywell.platform import orders as server_orders
from waywell.platform.orders import ServerOrders, encode_order
from waywell.version.orders import Assignment, Join, Leave, OrderResult

if TYPE_CHECKING:
    from waywell.version.fleet import FleetBox

HEAD = make_group('notes.7', 'a', 'b')[0]
LEAVE = Assignment(HEAD, Leave(HEAD.standing.group, HEAD.standing.epoch))


class _Calls:
    def __init__(self, outcome: Result[HttpResponse, PlatformFault]) -> None:
        self.outcome = outcome

    async def call(
        self, *_words: object
    ) -> Result[HttpResponse, PlatformFault]:
        return self.outcome


def give(
    monkeypatch: pytest.MonkeyPatch,
    outcome: Result[HttpResponse, PlatformFault],
) -> OrderResult:
    def make_calls(_box: FleetBox, _seconds: float) -> _Calls:
        return _Calls(outcome)

    monkeypatch.setattr(server_orders, '_make_calls', make_calls)
    return asyncio.run(ServerOrders().give(LEAVE, 3))


@pytest.mark.parametrize('fault', list(PlatformFault))
def test_a_box_that_can_not_be_reached_is_not_known_to_be_gone(
    monkeypatch: pytest.MonkeyPatch,
    fault: PlatformFault,
) -> None:
    """A cut may refuse connections of one node while others reach the box."""
    assert give(monkeypatch, Failure(fault)) is OrderResult.UNKNOWN


@pytest.mark.parametrize(
    ('status', 'result'),
    [
        (202, OrderResult.ACCEPTED),
        (409, OrderResult.CONFLICT),
        (412, OrderResult.OUTDATED),
        (421, OrderResult.GONE),
        (500, OrderResult.UNKNOWN),
    ],
)
def test_a_box_tells_what_came_of_an_order(
    monkeypatch: pytest.MonkeyPatch,
    status: int,
    result: OrderResult,
) -> None:
    answer = Success(HttpResponse(status, b'{}'))
    assert give(monkeypatch, answer) is result


def test_a_join_carries_the_number_of_the_state_that_it_is_for() -> None:
    members = (HEAD.box,)
    join = Join(HEAD.standing.group, Epoch(8), ModelName('notes'), members, 5)
    body = encode_order(Assignment(HEAD, join), 3)
    assert body['expect_rev'] == 5
    assert 'orders_begun' not in body
    assert 'expect_rev' not in encode_order(LEAVE, 3)


def test_an_order_carries_the_number_of_its_term() -> None:
    assert encode_order(LEAVE, 3)['fence_token'] == 3
