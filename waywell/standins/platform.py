"""A small stand-in for the platform's object API, with faults.

It keeps objects in memory and answers the calls that
``waywell.connection.http_platform`` makes.  Faults are set over HTTP at
``/faults``: outages, lost answers, a lagging box list, a return with an
older state.
"""

from __future__ import annotations

import copy
from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet import reactor
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from waywell.connection.platform import Changes, Stored
from waywell.version.document import PLATFORM_VALUE_BYTES

if TYPE_CHECKING:
    from twisted.web.http import Request

OBJECT_PARTS = 3
"""Parts of the path of one object."""


class Faults(msgspec.Struct):
    """What goes wrong on purpose."""

    outage: bool = False
    """Every call is cut without an answer."""

    lose_answers: int = 0
    """So many writes take effect without an answer."""

    box_lag: float = 0.0
    """Seconds by which the box list lags."""

    refuse_kind: str = ''
    """Kind of which every write is refused."""

    delay: float = 0.0
    """Seconds by which each answer is late."""


class ObjectStore:
    """Objects with versions and a log of changes."""

    def __init__(self) -> None:
        """Start empty."""
        self.revision = 0
        self.writes = 0
        self.reads = 0
        self._stored: dict[tuple[str, str], Stored] = {}
        self._log: list[Stored] = []
        self._saved: dict[tuple[str, str], Stored] = {}

    def fetch(self, kind: str, name: str) -> Stored | None:
        """Return an object."""
        return self._stored.get((kind, name))

    def fetch_all(self, kind: str) -> Changes:
        """Return all objects of a kind."""
        found = tuple(
            stored for key, stored in self._stored.items() if key[0] == kind
        )
        return Changes(self.revision, found, complete=True)

    def write(
        self,
        kind: str,
        name: str,
        body: Any,
        expected: int,
    ) -> Stored | None:
        """Write on the expected version; ``None`` on a conflict."""
        stored = self._stored.get((kind, name))
        version = stored.version if stored else 0
        if expected not in {-1, version}:
            return None
        self.writes += 1
        self.revision += 1
        written = Stored(kind, name, self.revision, body)
        self._stored[kind, name] = written
        self._log.append(written)
        return written

    def delete(self, kind: str, name: str) -> None:
        """Delete an object."""
        if self._stored.pop((kind, name), None) is not None:
            self.writes += 1
            self.revision += 1
            self._log.append(Stored(kind, name, self.revision))

    def list_changes(self, kinds: set[str], after: int) -> Changes:
        """Return what changed after a revision."""
        found = tuple(
            stored
            for stored in self._log
            if stored.version > after and stored.kind in kinds
        )
        return Changes(self.revision, found)

    def save(self) -> None:
        """Remember the present objects for a later return to them."""
        self._saved = copy.deepcopy(self._stored)

    def go_back(self) -> None:
        """Return to the remembered objects, as from a backup."""
        self._stored = copy.deepcopy(self._saved)
        self.revision += 1
        self._log = []


class PlatformResource(Resource):
    """Answers the object API."""

    isLeaf = True

    def __init__(self, store: ObjectStore) -> None:
        """Answer from a store, without faults at first."""
        super().__init__()
        self.store = store
        self.faults = Faults()
        self._waiting: list[_Watch] = []

    def render(self, request: Request) -> int:
        """Answer a call, late or not at all where a fault says so."""
        path = request.path.decode()
        if path == '/faults':
            self._set_faults(request)
        elif self.faults.outage:
            _cut(request)
        elif self.faults.delay:
            reactor.callLater(self.faults.delay, self._serve, request, path)
        else:
            self._serve(request, path)
        return int(NOT_DONE_YET)

    def _set_faults(self, request: Request) -> None:
        raw = msgspec.json.decode(request.content.read() or b'{}')
        if raw.pop('save', False):
            self.store.save()
        if raw.pop('go_back', False):
            self.store.go_back()
        self._forget_kind(raw.pop('forget_kind', ''))
        now = msgspec.to_builtins(self.faults)
        self.faults = msgspec.convert({**now, **raw}, Faults)
        if self.faults.outage:
            for watch in self._waiting:
                watch.cut()
            self._waiting = []
        _answer(
            request,
            200,
            {
                'reads': self.store.reads,
                'writes': self.store.writes,
                'watches': len(self._waiting),
            },
        )

    def _forget_kind(self, kind: str) -> None:
        """Delete all objects of a kind at one moment."""
        for stored in self.store.fetch_all(kind).objects:
            self.store.delete(kind, stored.name)
        self._wake()

    def _serve(self, request: Request, path: str) -> None:
        parts = path.strip('/').split('/')
        method = request.method.decode()
        if method == 'GET':
            self.store.reads += 1
            self._read(request, parts)
        elif method == 'PUT':
            self._write(request, parts[1], parts[2])
        else:
            self.store.delete(parts[1], parts[2])
            self._confirm(request, None)

    def _read(self, request: Request, parts: list[str]) -> None:
        if parts[0] == 'watch':
            self._watch(request)
        elif len(parts) == OBJECT_PARTS:
            stored = self.store.fetch(parts[1], parts[2])
            _answer(request, 200 if stored else 404, stored)
        else:
            _answer(request, 200, self.store.fetch_all(parts[1]))

    def _write(self, request: Request, kind: str, name: str) -> None:
        raw = request.content.read()
        if len(raw) > PLATFORM_VALUE_BYTES:
            _answer(request, 413, None)
            return
        if kind == self.faults.refuse_kind:
            _answer(request, 429, None)
            return
        body = msgspec.json.decode(raw)
        expected = int(request.args[b'expected'][0])
        if kind == 'box' and self.faults.box_lag:
            reactor.callLater(
                self.faults.box_lag,
                self._write_late,
                (kind, name, body),
            )
            _answer(request, 200, Stored(kind, name, self.store.revision))
            return
        written = self.store.write(kind, name, body, expected)
        if written is None:
            _answer(request, 412, None)
            return
        self._confirm(request, Stored(kind, name, written.version))

    def _write_late(self, late: tuple[str, str, Any]) -> None:
        kind, name, body = late
        self.store.write(kind, name, body, -1)
        self._wake()

    def _confirm(self, request: Request, stored: Stored | None) -> None:
        self._wake()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            _cut(request)
        else:
            _answer(request, 200, stored)

    def _watch(self, request: Request) -> None:
        kinds = set(request.args[b'kinds'][0].decode().split(','))
        after = int(request.args[b'after'][0])
        watch = _Watch(request, kinds, after, self.store)
        if not watch.answer_news():
            self._waiting.append(watch)
            wait = float(request.args[b'wait'][0])
            watch.timer = reactor.callLater(wait, self._end_watch, watch)
            request.notifyFinish().addErrback(lambda _: self._drop(watch))

    def _end_watch(self, watch: _Watch) -> None:
        self._drop(watch)
        watch.answer()

    def _drop(self, watch: _Watch) -> None:
        if watch in self._waiting:
            self._waiting.remove(watch)
            watch.cancel_timer()

    def _wake(self) -> None:
        for watch in tuple(self._waiting):
            if watch.answer_news():
                self._waiting.remove(watch)
                watch.cancel_timer()


class _Watch:
    def __init__(
        self,
        request: Request,
        kinds: set[str],
        after: int,
        store: ObjectStore,
    ) -> None:
        self.timer: Any = None
        self._request = request
        self._kinds = kinds
        self._after = after
        self._store = store

    def answer_news(self) -> bool:
        changes = self._store.list_changes(self._kinds, self._after)
        if changes.objects:
            _answer(self._request, 200, changes)
        return bool(changes.objects)

    def answer(self) -> None:
        changes = self._store.list_changes(self._kinds, self._after)
        _answer(self._request, 200, changes)

    def cut(self) -> None:
        self.cancel_timer()
        _cut(self._request)

    def cancel_timer(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()


def _answer(request: Request, status: int, body: Any) -> None:
    request.setResponseCode(status)
    request.setHeader(b'content-type', b'application/json')
    request.write(msgspec.json.encode(body))
    request.finish()


def _cut(request: Request) -> None:
    if request.transport is not None:
        request.transport.abortConnection()


def open_platform(port: int = 0) -> tuple[int, PlatformResource]:
    """Listen on a port of the loopback; return it and the resource."""
    resource = PlatformResource(ObjectStore())
    site = Site(resource)
    listening = reactor.listenTCP(port, site, interface='127.0.0.1')
    return listening.getHost().port, resource
