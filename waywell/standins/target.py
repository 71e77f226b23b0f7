"""A small stand-in for a target: a model engine or a plain service.

It takes fenced orders, refuses work of another epoch, streams tokens as
server-sent events, counts what it has run, and fails on purpose where a
request's header or a call to ``/standin/faults`` says so.
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
"""End marker of a streamed answer."""


class TargetFaults(msgspec.Struct):
    """What goes wrong on purpose."""

    slow: float = 0.0
    """Seconds before the first byte of each answer."""

    token_gap: float = 0.005
    """Seconds between two tokens."""

    cut_after: int = -1
    """Bytes of the body after which an answer is cut, -1 for never."""

    close_after_read: bool = False
    """Close after the request was read and run, without an answer."""

    ends_under: str = ''
    """Body of a request under which the process ends; empty for none."""

    ends_within: str = ''
    """Text within a body under which the process ends; empty for none."""

    rest: str = ''
    """Seconds of rest that it asks for while it turns requests away; empty
    where it takes them."""

    limit: str = ''
    """Requests a second that it says it takes; empty for no limit."""

    ready: bool = True
    """What it says of itself to probes."""


class TargetResource(Resource):
    """Answers requests, orders and probes of one box.

    Parameters
    ----------
    box
        Name of the box.
    fenced
        Whether it checks the epoch of requests.
    history
        File to which each run is written, or an empty string.
    """

    isLeaf = True

    def __init__(self, box: str, fenced: bool, history: str = '') -> None:
        """Start without an order."""
        super().__init__()
        self.box = box
        self.runs: dict[str, int] = {}
        self.faults = TargetFaults()
        self.order: GroupOrder | None = None
        self.in_flight = 0
        self.turned_away = 0
        self.arrived_at: list[float] = []
        self._fenced = fenced
        self._history = history

    def render(self, request: Request) -> int:
        """Answer one request."""
        path = request.path.decode()
        if path == '/waywell/order':
            self._take_order(request)
        elif path == '/waywell/health':
            _answer(request, 200, self._describe())
        elif path == '/standin/faults':
            now = msgspec.to_builtins(self.faults)
            raw = msgspec.json.decode(request.content.read() or b'{}')
            self.faults = msgspec.convert({**now, **raw}, TargetFaults)
            shown = {
                'runs': self.runs,
                'turned_away': self.turned_away,
                'arrived_at': self.arrived_at,
            }
            _answer(request, 200, shown)
        elif self._is_fenced_off(request):
            request.setHeader(FENCE_HEADER.encode(), FENCE_REFUSED.encode())
            _answer(request, 409, {'epoch': self._get_epoch()})
        else:
            self._run(request, path)
        return int(NOT_DONE_YET)

    def _describe(self) -> ProbeAnswer:
        return ProbeAnswer(
            box=BoxId(self.box),
            group=self.order.group if self.order else None,
            epoch=self._get_epoch(),
            ready=self.faults.ready,
            load=self.in_flight,
        )

    def _get_epoch(self) -> Epoch:
        return self.order.epoch if self.order else Epoch(0)

    def _take_order(self, request: Request) -> None:
        order = msgspec.json.decode(request.content.read(), type=GroupOrder)
        self._note('order', group=order.group, epoch=order.epoch)
        if order.epoch < self._get_epoch():
            _answer(request, 409, {'epoch': self._get_epoch()})
            return
        self.order = order
        _answer(request, 200, {'epoch': order.epoch})

    def _is_fenced_off(self, request: Request) -> bool:
        if not self._fenced:
            return False
        text = request.getHeader(EPOCH_HEADER) or '0'
        if self.order is None or self.order.boxes[0] != self.box:
            return True
        return int(text) != self.order.epoch

    def _run(self, request: Request, path: str) -> None:
        self.arrived_at.append(time.monotonic())
        if self.faults.limit:
            request.setHeader(b'server-limit', self.faults.limit.encode())
        if self.faults.rest:
            self._turn_away(request)
            return
        body = request.content.read()
        name = request.getHeader('waywell-request-id') or ''
        self.runs[name] = self.runs.get(name, 0) + 1
        self._note(
            'run',
            request=name,
            group=self.order.group if self.order else '',
            epoch=request.getHeader(EPOCH_HEADER) or '',
        )
        if self._is_deadly(body.decode('latin-1')):
            os._exit(1)
        self.in_flight += 1
        answering = _Answering(self, request, body)
        request.notifyFinish().addBoth(lambda _: answering.end())
        reactor.callLater(self.faults.slow, answering.begin)

    def _is_deadly(self, body: str) -> bool:
        """Answer whether the process ends under a body."""
        within = self.faults.ends_within
        if within and within in body:
            return True
        return bool(body) and body == self.faults.ends_under

    def _turn_away(self, request: Request) -> None:
        self.turned_away += 1
        request.setHeader(b'retry-after', self.faults.rest.encode())
        _answer(request, 503, {})

    def _note(self, event: str, **pairs: Any) -> None:
        if not self._history:
            return
        line = {'event': event, 'at': time.time(), 'box': self.box, **pairs}
        with Path(self._history).open('ab') as history:
            history.write(b'%s\n' % msgspec.json.encode(line))


class _Answering:
    """One answer in the making."""

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
        self._left = int(request.getHeader('standin-tokens') or 0)
        self._cut_after = int(
            request.getHeader('standin-cut') or target.faults.cut_after,
        )
        self._sent = 0

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
        if self._left:
            self._request.setHeader(b'content-type', b'text/event-stream')
            self._stream()
        else:
            self._reply()

    def _reply(self) -> None:
        """Answer with the size and hash of what was sent, and a padding."""
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
        if self._left <= 0:
            if self._write(STREAM_END):
                self._request.finish()
            return
        token = f'data: {{"token": {self._left}}}\n\n'
        self._left -= 1
        if self._write(token.encode()):
            reactor.callLater(self._target.faults.token_gap, self._stream)

    def _write(self, raw: bytes) -> bool:
        """Write, or cut the answer; answer whether it goes on."""
        room = len(raw)
        if self._cut_after >= 0:
            room = max(0, self._cut_after - self._sent)
        self._request.write(raw[:room])
        self._sent += len(raw)
        if room < len(raw):
            self._request.transport.loseConnection()
            return False
        return True


def _answer(request: Request, status: int, body: Any) -> None:
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
    """Listen on a port of the loopback; return it and the resource."""
    resource = TargetResource(box, fenced, history)
    listening = reactor.listenTCP(port, Site(resource), interface='127.0.0.1')
    return listening.getHost().port, resource
