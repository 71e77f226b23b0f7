"""A box that does not answer is asked twice, and known as silent soon."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from tests.boxes import make_box
from tests.loops import in_loop
from waywell.connection.box_orders import BoxOrders
from waywell.duties import box_questions
from waywell.duties.box_questions import ask_box
from waywell.version.box_report import BoxReport
from waywell.version.orders import Assignment, OrderResult

if TYPE_CHECKING:
    from waywell.version.fleet import FleetBox

BOX = make_box('a')


class _Orders(BoxOrders):
    """Answers questions as it is told to, in their order."""

    def __init__(self) -> None:
        self.answers: list[asyncio.Future[BoxReport | None]] = []
        self.given_up = 0

    async def send(self, assignment: Assignment, fence: int) -> OrderResult:
        raise AssertionError('no order is given here')

    async def read_report(self, box: FleetBox) -> BoxReport | None:
        answer = asyncio.get_running_loop().create_future()
        self.answers.append(answer)
        try:
            return await answer
        except asyncio.CancelledError:
            self.given_up += 1
            raise

    async def wait_asked(self, count: int) -> None:
        while len(self.answers) < count:
            await asyncio.sleep(0)


@pytest.fixture(autouse=True)
def _no_pause(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(box_questions, 'ASK_BESIDE_SECONDS', 0.005)


@in_loop
async def test_a_box_that_answers_is_asked_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(box_questions, 'ASK_BESIDE_SECONDS', 30.0)
    orders = _Orders()
    asking = asyncio.ensure_future(ask_box(orders, BOX))
    await orders.wait_asked(1)
    orders.answers[0].set_result(BoxReport(orders_begun=4))
    assert await asking == BoxReport(orders_begun=4)
    assert len(orders.answers) == 1


@in_loop
async def test_a_lost_question_costs_no_box() -> None:
    orders = _Orders()
    asking = asyncio.ensure_future(ask_box(orders, BOX))
    await orders.wait_asked(2)
    orders.answers[1].set_result(BoxReport(orders_begun=5))
    assert await asking == BoxReport(orders_begun=5)
    await asyncio.sleep(0)
    assert orders.given_up == 1


@in_loop
async def test_a_box_is_silent_when_both_questions_are() -> None:
    orders = _Orders()
    asking = asyncio.ensure_future(ask_box(orders, BOX))
    await orders.wait_asked(2)
    orders.answers[0].set_result(None)
    await asyncio.sleep(0)
    assert not asking.done()
    orders.answers[1].set_result(None)
    assert await asking is None


@in_loop
async def test_a_question_that_fails_at_once_is_asked_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(box_questions, 'ASK_BESIDE_SECONDS', 30.0)
    orders = _Orders()
    asking = asyncio.ensure_future(ask_box(orders, BOX))
    await orders.wait_asked(1)
    orders.answers[0].set_result(None)
    await orders.wait_asked(2)
    orders.answers[1].set_result(BoxReport())
    assert await asking == BoxReport()
