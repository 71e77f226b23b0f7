"""Results of orders to servers, and the bodies that carry the orders."""

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


class _FixedCalls:
    """Answers each call with the same outcome."""

    def __init__(self, outcome: Result[HttpResponse, PlatformFault]) -> None:
        self.outcome = outcome

    async def call(
        self, *_args: object
    ) -> Result[HttpResponse, PlatformFault]:
        return self.outcome


def send(
    monkeypatch: pytest.MonkeyPatch,
    outcome: Result[HttpResponse, PlatformFault],
) -> OrderResult:
    def make_calls(_box: FleetBox, _seconds: float) -> _FixedCalls:
        return _FixedCalls(outcome)

    monkeypatch.setattr(server_orders, '_make_client', make_calls)
    return asyncio.run(ServerOrders().send(LEAVE, 3))


@pytest.mark.parametrize('fault', list(PlatformFault))
def test_no_failed_call_means_that_the_box_is_gone(
    monkeypatch: pytest.MonkeyPatch,
    fault: PlatformFault,
) -> None:
    """A partition may refuse the connections of one node only."""
    assert send(monkeypatch, Failure(fault)) is OrderResult.UNKNOWN


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
def test_the_status_of_an_answer_gives_the_result_of_an_order(
    monkeypatch: pytest.MonkeyPatch,
    status: int,
    result: OrderResult,
) -> None:
    answer = Success(HttpResponse(status, b'{}'))
    assert send(monkeypatch, answer) is result


def test_a_join_carries_the_order_count_that_it_expects() -> None:
    members = (HEAD.box,)
    join = Join(HEAD.standing.group, Epoch(8), ModelName('notes'), members, 5)
    body = encode_order(Assignment(HEAD, join), 3)
    assert body['expect_rev'] == 5
    assert 'orders_begun' not in body
    assert 'expect_rev' not in encode_order(LEAVE, 3)


def test_an_order_carries_its_fencing_token() -> None:
    assert encode_order(LEAVE, 3)['fence_token'] == 3
