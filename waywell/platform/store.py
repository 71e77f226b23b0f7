"""The platform's store of objects."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from types import MappingProxyType
from typing import TYPE_CHECKING, Any
from urllib.parse import quote, urlencode

import msgspec
from returns.result import Failure, Result, Success

from waywell.connection.http_calls import CallAnswer, HttpCalls
from waywell.connection.platform import (
    Changes,
    Kind,
    Platform,
    PlatformFault,
    Stored,
)
from waywell.platform.manifest import decode_manifest
from waywell.platform.servers import decode_server
from waywell.process.events import log_warning

if TYPE_CHECKING:
    from collections.abc import Sequence

WATCH_MARGIN = 1.0
"""Seconds beyond a watch's own wait until it counts as unanswered."""

STALE = MappingProxyType({'serializable': '1'})
"""Query of a read that may be seconds old; it costs a tenth."""

MOST_OBJECTS = 50_000
"""Objects of one list, so that a list that never ends is given up; some twenty
times the target's boxes."""

_WORD_BY_KIND = MappingProxyType(
    {
        Kind.CONFIGURATION: 'config',
        Kind.BOX: 'servers',
        Kind.LEASE: 'waywell-leases',
        Kind.PRESENCE: 'waywell-entries',
    },
)

_FAULT_BY_STATUS: MappingProxyType[int, PlatformFault] = MappingProxyType(
    {
        HTTPStatus.CONFLICT: PlatformFault.CONFLICT,
        HTTPStatus.GONE: PlatformFault.HISTORY_GONE,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE: PlatformFault.TOO_LARGE,
    },
)

BodyDecoder = Callable[[str, Any], Any]
"""Turns the name and the plain body of an object into the project's type."""


class _Meta(msgspec.Struct):
    name: str
    # Of the object's last change, not of the whole store.
    revision: int = 0


class _Object(msgspec.Struct):
    metadata: _Meta
    spec: Any = None


class _Event(msgspec.Struct):
    # Holds the object as it last was where it is removed.
    object: _Object
    removed: bool = False


class _Page(msgspec.Struct):
    items: list[_Object] = []
    events: list[_Event] = []
    has_more: bool = False
    # Of the whole store; a watch goes on from here.
    current_rev: int = 0


def _keep_plain(_name: str, spec: Any) -> Any:
    return spec


def _decode_configuration(_name: str, spec: Any) -> Any:
    return decode_manifest(spec)


_DECODER_BY_KIND: MappingProxyType[Kind, BodyDecoder] = MappingProxyType(
    {Kind.CONFIGURATION: _decode_configuration, Kind.BOX: decode_server},
)


class ObjectStore(Platform):
    """Calls the store of objects at an address.

    Parameters
    ----------
    address
        ``IP:PORT``.
    timeout
        Seconds until a call counts as unanswered.
    """

    def __init__(self, address: str, timeout: float) -> None:
        """Open no connection yet."""
        self._calls = HttpCalls(
            f'http://{address}',
            timeout,
            {'content-type': 'application/json'},
        )

    async def fetch(
        self,
        kind: Kind,
        name: str,
        fresh: bool = True,
    ) -> Result[Stored | None, PlatformFault]:
        """Return an object, or ``None`` where there is none."""
        query = {} if fresh else STALE
        path = _make_path(kind, name, **query)
        called = await self._calls.call('GET', path)
        if isinstance(called, Success):
            if called.unwrap().status == HTTPStatus.NOT_FOUND:
                return Success(None)
        return called.bind(_take_body).bind(partial(_decode_one, kind))

    async def fetch_all(
        self,
        kind: Kind,
        fresh: bool = True,
    ) -> Result[Changes, PlatformFault]:
        """Return all objects of a kind and where a watch goes on."""
        found: list[_Event] = []
        revision = 0
        query = {} if fresh else dict(STALE)
        while len(found) < MOST_OBJECTS:
            called = await self._calls.call('GET', _make_path(kind, **query))
            decoded = called.bind(_take_body).bind(_decode_page)
            if isinstance(decoded, Failure):
                return decoded
            page = decoded.unwrap()
            # Changes after the first page are seen by the watch.
            revision = revision or page.current_rev
            found.extend(_Event(item) for item in page.items)
            if not page.has_more or not page.items:
                objects, unreadable = _gather(kind, found)
                return Success(Changes(revision, objects, True, unreadable))
            query['since_rev'] = page.items[-1].metadata.name
        return Failure(PlatformFault.UNREADABLE)

    async def write(
        self,
        kind: Kind,
        name: str,
        body: Any,
        expected: int,
    ) -> Result[Stored, PlatformFault]:
        """Write an object if its version is the expected one."""
        meta = {'name': name, 'revision': expected}
        method = 'PUT' if expected else 'POST'
        path = _make_path(kind, name) if expected else _make_path(kind)
        if not expected:
            meta.pop('revision')
        raw = msgspec.json.encode({'metadata': meta, 'spec': body})
        called = await self._calls.call(method, path, raw)
        return called.bind(_take_body).bind(partial(_decode_one, kind))

    async def delete(
        self,
        kind: Kind,
        name: str,
    ) -> Result[None, PlatformFault]:
        """Delete an object."""
        called = await self._calls.call('DELETE', _make_path(kind, name))
        return called.bind(_take_body).map(lambda _raw: None)

    async def watch(
        self,
        kinds: Sequence[Kind],
        after: int,
        seconds: float,
    ) -> Result[Changes, PlatformFault]:
        """Wait for changes of one kind after a revision.

        Raises
        ------
        ValueError
            When more than one kind is asked for.
        """
        if len(kinds) != 1:
            raise ValueError('the store watches one kind a call')
        query = {'watch': str(after), 'wait_ms': str(round(seconds * 1000))}
        called = await self._calls.call(
            'GET',
            _make_path(kinds[0], **query),
            extra=seconds + WATCH_MARGIN,
        )
        decoded = called.bind(_take_body).bind(_decode_page)
        if isinstance(decoded, Failure):
            return decoded
        page = decoded.unwrap()
        objects, unreadable = _gather(kinds[0], page.events)
        return Success(
            Changes(page.current_rev, objects, unreadable=unreadable),
        )


def _make_path(kind: Kind, name: str = '', **query: str) -> str:
    path = f'/api/objects/{_WORD_BY_KIND[kind]}'
    if name:
        path = f'{path}/{quote(name, safe="")}'
    return f'{path}?{urlencode(query)}' if query else path


def _take_body(answer: CallAnswer) -> Result[bytes, PlatformFault]:
    if answer.status < HTTPStatus.MULTIPLE_CHOICES:
        return Success(answer.raw)
    # The store says of a 503 that nothing was done.
    return Failure(_FAULT_BY_STATUS.get(answer.status, PlatformFault.REFUSED))


def _decode_page(raw: bytes) -> Result[_Page, PlatformFault]:
    try:
        return Success(msgspec.json.decode(raw, type=_Page))
    except msgspec.MsgspecError as error:
        log_warning('store_answer_unreadable', error=str(error))
        return Failure(PlatformFault.UNREADABLE)


def _decode_one(kind: Kind, raw: bytes) -> Result[Any, PlatformFault]:
    try:
        found = msgspec.json.decode(raw, type=_Object)
    except msgspec.MsgspecError as error:
        log_warning('store_answer_unreadable', error=str(error))
        return Failure(PlatformFault.UNREADABLE)
    stored = _read_object(kind, found)
    if stored is None:
        return Failure(PlatformFault.UNREADABLE)
    return Success(stored)


def _gather(
    kind: Kind,
    events: list[_Event],
) -> tuple[tuple[Stored, ...], tuple[str, ...]]:
    """Return the objects of some events and the names of unreadable ones."""
    stored = []
    unreadable = []
    for event in events:
        meta = event.object.metadata
        if event.removed:
            stored.append(Stored(kind.value, meta.name, meta.revision))
            continue
        read = _read_object(kind, event.object)
        if read is None:
            unreadable.append(meta.name)
        else:
            stored.append(read)
    return tuple(stored), tuple(unreadable)


def _read_object(kind: Kind, found: _Object) -> Stored | None:
    """Return an object, or ``None`` with a log line where it is unreadable."""
    meta = found.metadata
    decoder = _DECODER_BY_KIND.get(kind, _keep_plain)
    try:
        body = decoder(meta.name, found.spec)
    except ValueError as error:
        log_warning(
            'object_unreadable',
            kind=kind.value,
            name=meta.name,
            revision=meta.revision,
            error=str(error),
        )
        return None
    return Stored(kind.value, meta.name, meta.revision, body)
