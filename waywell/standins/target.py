"""Stand-in for a target: a model engine or a plain service.

The target accepts fenced orders, refuses requests of another epoch, streams
tokens as server-sent events and counts the requests that it has run.  Headers
of a request and calls to ``/standin/faults`` inject faults.
"""

from __future__ import annotations

import hashlib
import os
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet import reactor
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from waywell.connection.target import (
    EPOCH_HEADER,
    FENCE_HEADER,
    FENCE_REFUSED,
    LOAD_HEADER,
    GroupOrder,
    ProbeAnswer,
)
from waywell.ids import BoxId, Epoch

if TYPE_CHECKING:
    from twisted.web.http import Request

STREAM_END = b'data: [DONE]\n\n'
"""Last event of a streamed answer."""


class TargetFaults(msgspec.Struct):
    """Faults injected into a target."""

    slow: float = 0.0
    """Delay before the first byte of each answer, in seconds."""

    token_gap: float = 0.005
    """Delay between two tokens, in seconds."""

    cut_after: int = -1
    """Bytes of the body after which the connection is closed; -1 for never."""

    close_after_read: bool = False
    """Whether requests are read and counted as run, then reset unanswered."""

    ends_under: str = ''
    """Request body that crashes the process; empty for none."""

    ends_within: str = ''
    """Text in a request body that crashes the process; empty for none."""

    rest: str = ''
    """Value of ``Retry-After`` with which requests are rejected.

    Empty to accept requests.
    """

    limit: str = ''
    """Reported limit in requests per second; empty for none."""

    ready: bool = True
    """Readiness reported to probes."""


class TargetResource(Resource):
    """Handles requests, orders and probes of one box.

    Parameters
    ----------
    box
        Name of the box.
    fenced
        Whether requests of another epoch are refused.
    history
        File that records orders and runs, or an empty string for none.
    """

    isLeaf = True

    def __init__(self, box: str, fenced: bool, history: str = '') -> None:
        """Start without an order and without faults."""
        super().__init__()
        self.box = box
        self.runs: dict[str, int] = {}
        self.faults = TargetFaults()
        self.order: GroupOrder | None = None
        self.in_flight = 0
        self.rejected_count = 0
        self.arrival_times: list[float] = []
        self._fenced = fenced
        self._history = history

    def render(self, request: Request) -> int:
        """Handle one HTTP request."""
        path = request.path.decode()
        if path == '/waywell/order':
            self._apply_order(request)
        elif path == '/waywell/health':
            _send_json(request, 200, self._make_probe_answer())
        elif path == '/standin/faults':
            current = msgspec.to_builtins(self.faults)
            raw = msgspec.json.decode(request.content.read() or b'{}')
            self.faults = msgspec.convert({**current, **raw}, TargetFaults)
            counts = {
                'runs': self.runs,
                'turned_away': self.rejected_count,
                'arrived_at': self.arrival_times,
            }
            _send_json(request, 200, counts)
        elif self._is_refused_by_fence(request):
            request.setHeader(FENCE_HEADER.encode(), FENCE_REFUSED.encode())
            _send_json(request, 409, {'epoch': self._get_epoch()})
        else:
            self._run(request, path)
        return int(NOT_DONE_YET)

    def _make_probe_answer(self) -> ProbeAnswer:
        return ProbeAnswer(
            box=BoxId(self.box),
            group=self.order.group if self.order else None,
            epoch=self._get_epoch(),
            ready=self.faults.ready,
            load=self.in_flight,
        )

    def _get_epoch(self) -> Epoch:
        return self.order.epoch if self.order else Epoch(0)

    def _apply_order(self, request: Request) -> None:
        order = msgspec.json.decode(request.content.read(), type=GroupOrder)
        self._record_event('order', group=order.group, epoch=order.epoch)
        if order.epoch < self._get_epoch():
            _send_json(request, 409, {'epoch': self._get_epoch()})
            return
        self.order = order
        _send_json(request, 200, {'epoch': order.epoch})

    def _is_refused_by_fence(self, request: Request) -> bool:
        if not self._fenced:
            return False
        text = request.getHeader(EPOCH_HEADER) or '0'
        if self.order is None or self.order.boxes[0] != self.box:
            return True
        return int(text) != self.order.epoch

    def _run(self, request: Request, path: str) -> None:
        self.arrival_times.append(time.monotonic())
        if self.faults.limit:
            request.setHeader(b'server-limit', self.faults.limit.encode())
        if self.faults.rest:
            self._reject(request)
            return
        body = request.content.read()
        name = request.getHeader('waywell-request-id') or ''
        self.runs[name] = self.runs.get(name, 0) + 1
        self._record_event(
            'run',
            request=name,
            group=self.order.group if self.order else '',
            epoch=request.getHeader(EPOCH_HEADER) or '',
        )
        if self._is_crashing_body(body.decode('latin-1')):
            os._exit(1)
        self.in_flight += 1
        sender = _AnswerSender(self, request, body)
        request.notifyFinish().addBoth(lambda _: sender.end())
        reactor.callLater(self.faults.slow, sender.begin)

    def _is_crashing_body(self, body: str) -> bool:
        """Return whether a request body crashes the process."""
        text = self.faults.ends_within
        if text and text in body:
            return True
        return bool(body) and body == self.faults.ends_under

    def _reject(self, request: Request) -> None:
        self.rejected_count += 1
        request.setHeader(b'retry-after', self.faults.rest.encode())
        _send_json(request, 503, {})

    def _record_event(self, event: str, **pairs: Any) -> None:
        if not self._history:
            return
        line = {'event': event, 'at': time.time(), 'box': self.box, **pairs}
        with Path(self._history).open('ab') as history:
            history.write(b'%s\n' % msgspec.json.encode(line))


class _AnswerSender:
    """Sends the answer to one request."""

    def __init__(
        self,
        target: TargetResource,
        request: Request,
        body: bytes,
    ) -> None:
        self._target = target
        self._request = request
        self._body = body
        self._ended = False
        self._tokens_left = int(request.getHeader('standin-tokens') or 0)
        self._cut_after_bytes = int(
            request.getHeader('standin-cut') or target.faults.cut_after,
        )
        self._sent_bytes = 0

    def end(self) -> None:
        if not self._ended:
            self._ended = True
            self._target.in_flight -= 1

    def begin(self) -> None:
        if self._ended:
            return
        if self._target.faults.close_after_read:
            self._request.transport.abortConnection()
            return
        load = str(self._target.in_flight).encode()
        self._request.setHeader(LOAD_HEADER.encode(), load)
        if self._tokens_left:
            self._request.setHeader(b'content-type', b'text/event-stream')
            self._stream()
        else:
            self._send_whole()

    def _send_whole(self) -> None:
        """Answer with the size and hash of the request body, and padding."""
        plain = {
            'box': self._target.box,
            'bytes': len(self._body),
            'sha256': hashlib.sha256(self._body).hexdigest(),
            'path': self._request.uri.decode(),
        }
        raw = msgspec.json.encode(plain)
        raw += b' ' * int(self._request.getHeader('standin-pad') or 0)
        self._request.setHeader(b'content-length', str(len(raw)).encode())
        if self._write(raw):
            self._request.finish()

    def _stream(self) -> None:
        if self._ended:
            return
        if self._tokens_left <= 0:
            if self._write(STREAM_END):
                self._request.finish()
            return
        token = f'data: {{"token": {self._tokens_left}}}\n\n'
        self._tokens_left -= 1
        if self._write(token.encode()):
            reactor.callLater(self._target.faults.token_gap, self._stream)

    def _write(self, raw: bytes) -> bool:
        """Write bytes up to the cut; return whether the answer continues."""
        allowed = len(raw)
        if self._cut_after_bytes >= 0:
            allowed = max(0, self._cut_after_bytes - self._sent_bytes)
        self._request.write(raw[:allowed])
        self._sent_bytes += len(raw)
        if allowed < len(raw):
            self._request.transport.loseConnection()
            return False
        return True


def _send_json(request: Request, status: int, body: Any) -> None:
    raw = msgspec.json.encode(body)
    request.setResponseCode(status)
    request.setHeader(b'content-type', b'application/json')
    request.setHeader(b'content-length', str(len(raw)).encode())
    request.write(raw)
    request.finish()


def open_target(
    box: str,
    fenced: bool = True,
    port: int = 0,
    history: str = '',
) -> tuple[int, TargetResource]:
    """Listen on a loopback port, 0 for any; return it and the resource."""
    resource = TargetResource(box, fenced, history)
    listening = reactor.listenTCP(port, Site(resource), interface='127.0.0.1')
    return listening.getHost().port, resource
