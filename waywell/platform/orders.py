"""Orders to servers of the platform."""

from __future__ import annotations

from http import HTTPStatus
from types import MappingProxyType
from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Failure

from waywell.connection.box_orders import BoxOrders
from waywell.connection.http_calls import HttpCalls
from waywell.platform.servers import (
    Born,
    Group,
    decode_incarnation,
    decode_standing,
)
from waywell.telemetry.events import log_warning
from waywell.version.box_report import NORMAL_PACE, BoxReport
from waywell.version.orders import (
    Assignment,
    BoxOrder,
    Close,
    Join,
    Leave,
    Open,
    OrderResult,
    Stage,
)

if TYPE_CHECKING:
    from waywell.version.fleet import FleetBox

ORDER_PATH = '/api/order'
"""Path at which a server takes orders."""

REPORT_PATH = '/api/report'
"""Path at which a server tells how it is; takes none of its places."""

PROBE_SECONDS = 0.3
"""For a server to report: a hundred times the way there and back."""

EXPECT_HEADER = 'X-Expect-Replica'
"""Every other server answers 421."""

ORDER_SECONDS = 0.6
"""For a server to answer: it only says that it begins."""

_RESULT_BY_STATUS: MappingProxyType[int, OrderResult] = MappingProxyType(
    {
        HTTPStatus.OK: OrderResult.ACCEPTED,
        HTTPStatus.ACCEPTED: OrderResult.ACCEPTED,
        HTTPStatus.CONFLICT: OrderResult.CONFLICT,
        HTTPStatus.PRECONDITION_FAILED: OrderResult.OUTDATED,
        HTTPStatus.MISDIRECTED_REQUEST: OrderResult.GONE,
    },
)

_WORD_BY_ORDER: MappingProxyType[type, str] = MappingProxyType(
    {
        Join: 'join',
        Open: 'open',
        Close: 'close',
        Leave: 'leave',
        Stage: 'stage',
    },
)


class ServerOrders(BoxOrders):
    """Gives orders over HTTP."""

    async def send(self, assignment: Assignment, fence: int) -> OrderResult:
        """Give an order to a box and return what came of it."""
        calls = _make_calls(assignment.box, ORDER_SECONDS)
        raw = msgspec.json.encode(encode_order(assignment, fence))
        called = await calls.call('POST', ORDER_PATH, raw)
        if isinstance(called, Failure):
            # Not even a refused connection says that the server is gone: a
            # cut may refuse those of this node while callers' requests run.
            return OrderResult.UNKNOWN
        return decode_result(called.unwrap().status)

    async def read_report(self, box: FleetBox) -> BoxReport | None:
        """Ask a server for its report."""
        calls = _make_calls(box, PROBE_SECONDS)
        called = await calls.call('GET', REPORT_PATH)
        if isinstance(called, Failure):
            return None
        answer = called.unwrap()
        if answer.status != HTTPStatus.OK:
            return None
        return decode_report(box, answer.raw)


def decode_result(status: int) -> OrderResult:
    """Return what the status of an answer to an order tells."""
    return _RESULT_BY_STATUS.get(status, OrderResult.UNKNOWN)


class _Report(msgspec.Struct):
    """What is read of a server's report."""

    # Counts orders here, while in the list of servers it counts entries.
    seq_no: int = 0
    group: Group | None = None

    pace: float = NORMAL_PACE
    """How slow the server is, not how fast: over 1 its work takes longer."""

    born: Born | msgspec.UnsetType = msgspec.UNSET


def decode_report(box: FleetBox, raw: bytes) -> BoxReport:
    """Return what a report tells; one that is unreadable is a sign of life."""
    try:
        return _decode_readable(raw)
    except ValueError as error:
        log_warning('report_unreadable', box=box.box, error=str(error))
        return BoxReport()


def _decode_readable(raw: bytes) -> BoxReport:
    found = msgspec.json.decode(raw, type=_Report)
    standing = None if found.group is None else decode_standing(found.group)
    life = decode_incarnation(found.born)
    return BoxReport(found.pace, found.seq_no, standing, life)


def _make_calls(box: FleetBox, seconds: float) -> HttpCalls:
    return HttpCalls(
        f'http://{box.host}:{box.port}',
        seconds,
        {'content-type': 'application/json', EXPECT_HEADER: box.box},
        keeps_connections=False,
    )


def encode_order(assignment: Assignment, fence: int) -> dict[str, Any]:
    """Return the body that carries an order.

    Servers that check no fence ignore its field.
    """
    order: BoxOrder = assignment.order
    body: dict[str, Any] = msgspec.to_builtins(order)
    body['operation'] = _WORD_BY_ORDER[type(order)]
    body['fence_token'] = fence
    if isinstance(order, Close):
        body['strategy'] = 'wait'
    if isinstance(order, Join):
        body['expect_rev'] = body.pop('orders_begun')
    return body
