"""Box probes: a second probe is sent when the first is slow or fails."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from tests.boxes import make_box
from tests.loops import in_loop
from waywell.connection.box_orders import BoxOrders
from waywell.duties import box_probe
from waywell.duties.box_probe import probe_box
from waywell.version.box_report import BoxReport
from waywell.version.orders import Assignment, OrderResult

if TYPE_CHECKING:
    from waywell.version.fleet import FleetBox

BOX = make_box('a')


class _Orders(BoxOrders):
    """Leaves each report request pending until the test completes it."""

    def __init__(self) -> None:
        self.requests: list[asyncio.Future[BoxReport | None]] = []
        self.cancelled = 0

    async def send(self, assignment: Assignment, fence: int) -> OrderResult:
        raise AssertionError('the probe must not send an order')

    async def read_report(self, box: FleetBox) -> BoxReport | None:
        report = asyncio.get_running_loop().create_future()
        self.requests.append(report)
        try:
            return await report
        except asyncio.CancelledError:
            self.cancelled += 1
            raise

    async def wait_for_requests(self, count: int) -> None:
        while len(self.requests) < count:
            await asyncio.sleep(0)


@pytest.fixture(autouse=True)
def _short_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(box_probe, 'SECOND_PROBE_DELAY_SECONDS', 0.005)


@in_loop
async def test_box_that_answers_in_time_is_probed_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(box_probe, 'SECOND_PROBE_DELAY_SECONDS', 30.0)
    orders = _Orders()
    probing = asyncio.ensure_future(probe_box(orders, BOX))
    await orders.wait_for_requests(1)
    orders.requests[0].set_result(BoxReport(orders_begun=4))
    assert await probing == BoxReport(orders_begun=4)
    assert len(orders.requests) == 1


@in_loop
async def test_second_probe_replaces_a_lost_first_probe() -> None:
    orders = _Orders()
    probing = asyncio.ensure_future(probe_box(orders, BOX))
    await orders.wait_for_requests(2)
    orders.requests[1].set_result(BoxReport(orders_begun=5))
    assert await probing == BoxReport(orders_begun=5)
    await asyncio.sleep(0)
    assert orders.cancelled == 1


@in_loop
async def test_box_is_silent_only_if_both_probes_fail() -> None:
    orders = _Orders()
    probing = asyncio.ensure_future(probe_box(orders, BOX))
    await orders.wait_for_requests(2)
    orders.requests[0].set_result(None)
    await asyncio.sleep(0)
    assert not probing.done()
    orders.requests[1].set_result(None)
    assert await probing is None


@in_loop
async def test_probe_that_fails_at_once_is_repeated(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(box_probe, 'SECOND_PROBE_DELAY_SECONDS', 30.0)
    orders = _Orders()
    probing = asyncio.ensure_future(probe_box(orders, BOX))
    await orders.wait_for_requests(1)
    orders.requests[0].set_result(None)
    await orders.wait_for_requests(2)
    orders.requests[1].set_result(BoxReport())
    assert await probing == BoxReport()
