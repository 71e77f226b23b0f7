"""Orders to the platform's servers, and their reports."""

from __future__ import annotations

from http import HTTPStatus
from types import MappingProxyType
from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Failure

from waywell.connection.box_orders import BoxOrders
from waywell.connection.http_client import HttpClient
from waywell.connection.lenient_json import DECODING_ERRORS
from waywell.platform.servers import (
    BirthStamp,
    EntryNumber,
    GroupMembership,
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
"""Path at which a server accepts orders."""

REPORT_PATH = '/api/report'
"""Path of a server's report, which occupies none of its slots."""

REPORT_TIMEOUT = 0.3
"""Timeout in seconds for a report: a hundred round trips."""

EXPECTED_SERVER_HEADER = 'X-Expect-Replica'
"""Header naming the addressed server; any other server answers 421."""

ORDER_TIMEOUT = 0.6
"""Timeout in seconds for the answer to an order.

The server answers when it starts to carry out the order.
"""

_RESULT_BY_STATUS: MappingProxyType[int, OrderResult] = MappingProxyType(
    {
        HTTPStatus.OK: OrderResult.ACCEPTED,
        HTTPStatus.ACCEPTED: OrderResult.ACCEPTED,
        HTTPStatus.CONFLICT: OrderResult.CONFLICT,
        HTTPStatus.PRECONDITION_FAILED: OrderResult.OUTDATED,
        HTTPStatus.MISDIRECTED_REQUEST: OrderResult.GONE,
    },
)

_OPERATION_BY_ORDER: MappingProxyType[type, str] = MappingProxyType(
    {
        Join: 'join',
        Open: 'open',
        Close: 'close',
        Leave: 'leave',
        Stage: 'stage',
    },
)


class ServerOrders(BoxOrders):
    """Sends orders and reads reports over HTTP."""

    async def send(self, assignment: Assignment, fence: int) -> OrderResult:
        """Send an order to a box and return its result."""
        client = _make_client(assignment.box, ORDER_TIMEOUT)
        raw = msgspec.json.encode(encode_order(assignment, fence))
        result = await client.call('POST', ORDER_PATH, raw)
        if isinstance(result, Failure):
            # Not even a refused connection shows that the server is gone: a
            # partition may refuse connections from this node while
            # callers' requests are running.
            return OrderResult.UNKNOWN
        return decode_result(result.unwrap().status)

    async def read_report(self, box: FleetBox) -> BoxReport | None:
        """Return the report of a server, or ``None`` if it does not answer."""
        client = _make_client(box, REPORT_TIMEOUT)
        result = await client.call('GET', REPORT_PATH)
        if isinstance(result, Failure):
            return None
        response = result.unwrap()
        if response.status != HTTPStatus.OK:
            return None
        return decode_report(box, response.raw)


def decode_result(status: int) -> OrderResult:
    """Return the result of an order from the HTTP status of its answer."""
    return _RESULT_BY_STATUS.get(status, OrderResult.UNKNOWN)


class _Report(msgspec.Struct):
    """Fields read from a server's report."""

    # Number of orders accepted; in an entry of the list of servers, the same
    # field numbers the entries.
    seq_no: EntryNumber = 0
    group: GroupMembership | None = None

    pace: float = NORMAL_PACE
    """Slowdown factor, not a speed: above 1, work takes longer."""

    born: BirthStamp | msgspec.UnsetType = msgspec.UNSET


def decode_report(box: FleetBox, raw: bytes) -> BoxReport:
    """Return a decoded report.

    An unreadable report is returned as an empty one, since it still shows that
    the server is alive.
    """
    try:
        return _parse_report(raw)
    except DECODING_ERRORS as error:
        log_warning('report_unreadable', box=box.box, error=str(error))
        return BoxReport()


def _parse_report(raw: bytes) -> BoxReport:
    report = msgspec.json.decode(raw, type=_Report)
    standing = None if report.group is None else decode_standing(report.group)
    incarnation = decode_incarnation(report.born)
    return BoxReport(report.pace, report.seq_no, standing, incarnation)


def _make_client(box: FleetBox, seconds: float) -> HttpClient:
    return HttpClient(
        f'http://{box.host}:{box.port}',
        seconds,
        {'content-type': 'application/json', EXPECTED_SERVER_HEADER: box.box},
        keeps_connections=False,
    )


def encode_order(assignment: Assignment, fence: int) -> dict[str, Any]:
    """Return the JSON body of an order.

    Servers that do not check fences ignore ``fence_token``.
    """
    order: BoxOrder = assignment.order
    body: dict[str, Any] = msgspec.to_builtins(order)
    body['operation'] = _OPERATION_BY_ORDER[type(order)]
    body['fence_token'] = fence
    if isinstance(order, Close):
        body['strategy'] = 'wait'
    if isinstance(order, Join):
        body['expect_rev'] = body.pop('orders_begun')
    return body
