"""Stand-in for the platform's object API with fault injection.

It keeps objects in memory and answers the calls that
``waywell.connection.http_platform`` makes.  Faults are injected by calls to
``/faults``: outages, lost answers, a delayed box list, restoration of an
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
"""Number of parts in the path of an object: prefix, kind and name."""


class PlatformFaults(msgspec.Struct):
    """Faults injected into the platform."""

    outage: bool = False
    """Whether the connection of every call is reset without an answer."""

    lose_answers: int = 0
    """Number of further writes that take effect without an answer."""

    box_lag: float = 0.0
    """Delay of writes to the box list, in seconds."""

    refuse_kind: str = ''
    """Kind of objects whose writes are refused; empty for none."""

    delay: float = 0.0
    """Delay before each call is handled, in seconds."""


class MemoryStore:
    """Versioned objects in memory with a log of changes."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.revision = 0
        self.writes = 0
        self.reads = 0
        self._stored: dict[tuple[str, str], Stored] = {}
        self._log: list[Stored] = []
        self._snapshot: dict[tuple[str, str], Stored] = {}

    def fetch(self, kind: str, name: str) -> Stored | None:
        """Return an object, or ``None`` if it does not exist."""
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
        """Write an object if its version is the expected one, -1 for any.

        Return the written object, or ``None`` on a conflict.
        """
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
        """Delete an object if it exists."""
        if self._stored.pop((kind, name), None) is not None:
            self.writes += 1
            self.revision += 1
            self._log.append(Stored(kind, name, self.revision))

    def list_changes(self, kinds: set[str], after: int) -> Changes:
        """Return the changes of some kinds after a revision."""
        found = tuple(
            stored
            for stored in self._log
            if stored.version > after and stored.kind in kinds
        )
        return Changes(self.revision, found)

    def save_snapshot(self) -> None:
        """Save a snapshot of the current objects."""
        self._snapshot = copy.deepcopy(self._stored)

    def restore(self) -> None:
        """Restore the snapshot, as from a backup."""
        self._stored = copy.deepcopy(self._snapshot)
        self.revision += 1
        self._log = []


class PlatformResource(Resource):
    """HTTP interface of the object API and of fault injection."""

    isLeaf = True

    def __init__(self, store: MemoryStore) -> None:
        """Serve a store, without faults at first."""
        super().__init__()
        self.store = store
        self.faults = PlatformFaults()
        self._watches: list[_Watch] = []

    def render(self, request: Request) -> int:
        """Answer a call, delayed or not at all if a fault is injected."""
        path = request.path.decode()
        if path == '/faults':
            self._set_faults(request)
        elif self.faults.outage:
            _abort(request)
        elif self.faults.delay:
            reactor.callLater(
                self.faults.delay, self._handle_call, request, path
            )
        else:
            self._handle_call(request, path)
        return int(NOT_DONE_YET)

    def _set_faults(self, request: Request) -> None:
        raw = msgspec.json.decode(request.content.read() or b'{}')
        if raw.pop('save', False):
            self.store.save_snapshot()
        if raw.pop('go_back', False):
            self.store.restore()
        self._delete_kind(raw.pop('forget_kind', ''))
        current = msgspec.to_builtins(self.faults)
        self.faults = msgspec.convert({**current, **raw}, PlatformFaults)
        if self.faults.outage:
            for watch in self._watches:
                watch.abort()
            self._watches = []
        _send_json(
            request,
            200,
            {
                'reads': self.store.reads,
                'writes': self.store.writes,
                'watches': len(self._watches),
            },
        )

    def _delete_kind(self, kind: str) -> None:
        """Delete all objects of a kind before any watch is answered."""
        for stored in self.store.fetch_all(kind).objects:
            self.store.delete(kind, stored.name)
        self._answer_watches()

    def _handle_call(self, request: Request, path: str) -> None:
        parts = path.strip('/').split('/')
        method = request.method.decode()
        if method == 'GET':
            self.store.reads += 1
            self._read(request, parts)
        elif method == 'PUT':
            self._write(request, parts[1], parts[2])
        else:
            self.store.delete(parts[1], parts[2])
            self._answer_write(request, None)

    def _read(self, request: Request, parts: list[str]) -> None:
        if parts[0] == 'watch':
            self._watch(request)
        elif len(parts) == OBJECT_PARTS:
            stored = self.store.fetch(parts[1], parts[2])
            _send_json(request, 200 if stored else 404, stored)
        else:
            _send_json(request, 200, self.store.fetch_all(parts[1]))

    def _write(self, request: Request, kind: str, name: str) -> None:
        raw = request.content.read()
        if len(raw) > PLATFORM_VALUE_BYTES:
            _send_json(request, 413, None)
            return
        if kind == self.faults.refuse_kind:
            _send_json(request, 429, None)
            return
        body = msgspec.json.decode(raw)
        expected = int(request.args[b'expected'][0])
        if kind == 'box' and self.faults.box_lag:
            reactor.callLater(
                self.faults.box_lag,
                self._write_delayed,
                (kind, name, body),
            )
            _send_json(request, 200, Stored(kind, name, self.store.revision))
            return
        written = self.store.write(kind, name, body, expected)
        if written is None:
            _send_json(request, 412, None)
            return
        self._answer_write(request, Stored(kind, name, written.version))

    def _write_delayed(self, delayed: tuple[str, str, Any]) -> None:
        kind, name, body = delayed
        self.store.write(kind, name, body, -1)
        self._answer_watches()

    def _answer_write(self, request: Request, stored: Stored | None) -> None:
        self._answer_watches()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            _abort(request)
        else:
            _send_json(request, 200, stored)

    def _watch(self, request: Request) -> None:
        kinds = set(request.args[b'kinds'][0].decode().split(','))
        after = int(request.args[b'after'][0])
        watch = _Watch(request, kinds, after, self.store)
        if not watch.answer_if_changed():
            self._watches.append(watch)
            wait = float(request.args[b'wait'][0])
            watch.timer = reactor.callLater(wait, self._end_watch, watch)
            request.notifyFinish().addErrback(
                lambda _: self._remove_watch(watch)
            )

    def _end_watch(self, watch: _Watch) -> None:
        self._remove_watch(watch)
        watch.answer()

    def _remove_watch(self, watch: _Watch) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
            watch.cancel_timer()

    def _answer_watches(self) -> None:
        for watch in tuple(self._watches):
            if watch.answer_if_changed():
                self._watches.remove(watch)
                watch.cancel_timer()


class _Watch:
    def __init__(
        self,
        request: Request,
        kinds: set[str],
        after: int,
        store: MemoryStore,
    ) -> None:
        self.timer: Any = None
        self._request = request
        self._kinds = kinds
        self._after = after
        self._store = store

    def answer_if_changed(self) -> bool:
        changes = self._store.list_changes(self._kinds, self._after)
        if changes.objects:
            _send_json(self._request, 200, changes)
        return bool(changes.objects)

    def answer(self) -> None:
        changes = self._store.list_changes(self._kinds, self._after)
        _send_json(self._request, 200, changes)

    def abort(self) -> None:
        self.cancel_timer()
        _abort(self._request)

    def cancel_timer(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()


def _send_json(request: Request, status: int, body: Any) -> None:
    request.setResponseCode(status)
    request.setHeader(b'content-type', b'application/json')
    request.write(msgspec.json.encode(body))
    request.finish()


def _abort(request: Request) -> None:
    if request.transport is not None:
        request.transport.abortConnection()


def open_platform(port: int = 0) -> tuple[int, PlatformResource]:
    """Listen on a loopback port, 0 for any; return it and the resource."""
    resource = PlatformResource(MemoryStore())
    site = Site(resource)
    listening = reactor.listenTCP(port, site, interface='127.0.0.1')
    return listening.getHost().port, resource
