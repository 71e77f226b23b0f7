"""The platform's store of objects."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from types import MappingProxyType
from typing import TYPE_CHECKING, Any
from urllib.parse import quote, urlencode

import msgspec
from returns.result import Failure, Result, Success

from waywell.connection.http_client import HttpClient, HttpResponse
from waywell.connection.platform import (
    Changes,
    Kind,
    Platform,
    PlatformFault,
    Stored,
)
from waywell.connection.store_era import UNREPORTED_ERA, EraTracker, StoreEra
from waywell.platform.manifest import decode_manifest
from waywell.platform.objects import (
    ForeignObject,
    StoredObject,
    StorePage,
    decode_object,
    decode_page,
)
from waywell.platform.servers import decode_server
from waywell.telemetry.events import log_warning

if TYPE_CHECKING:
    from collections.abc import Sequence

WATCH_MARGIN = 1.0
"""Seconds beyond a watch's own wait until it counts as unanswered."""

ERA_HEADER = 'store-era'

ERA_TEXT_LENGTH = 32
"""Characters of an unreadable era that are logged."""

STALE = MappingProxyType({'serializable': '1'})
"""Query of a read that may be seconds old; it costs a tenth."""

MOST_PAGES = 1000
"""Pages of one list, so that a list that never ends is given up; at 50 objects
a page some twenty times the target's boxes."""

MOST_TOLD = 1000
"""Objects of other writers whose revision is remembered, so that the log tells
of each once."""

_WORD_BY_KIND = MappingProxyType(
    {
        Kind.CONFIGURATION: 'config',
        Kind.BOX: 'servers',
        Kind.LEASE: 'waywell-leases',
        Kind.PRESENCE: 'waywell-entries',
        Kind.HELD_REQUEST: 'waywell-held-requests',
    },
)

_FAULT_BY_STATUS: MappingProxyType[int, PlatformFault] = MappingProxyType(
    {
        HTTPStatus.CONFLICT: PlatformFault.CONFLICT,
        HTTPStatus.GONE: PlatformFault.HISTORY_GONE,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE: PlatformFault.TOO_LARGE,
    },
)

_REFUSALS = frozenset(
    (
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.BAD_GATEWAY,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.GATEWAY_TIMEOUT,
    ),
)
"""HTTP statuses of calls that were turned away, with no content."""

BodyDecoder = Callable[[str, Any], Any]
"""Turns the name and the plain body of an object into the project's type."""


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
    eras
        Tracks the era that each answer tells.
    """

    def __init__(
        self,
        address: str,
        timeout: float,
        eras: EraTracker | None = None,
    ) -> None:
        """Open no connection yet."""
        self._eras = eras or EraTracker()
        self._calls = HttpClient(
            f'http://{address}',
            timeout,
            {'content-type': 'application/json'},
        )
        self._reader = _ObjectReader()

    async def fetch(
        self,
        kind: Kind,
        name: str,
        fresh: bool = True,
    ) -> Result[Stored | None, PlatformFault]:
        """Return an object, or ``None`` where there is none."""
        query = {} if fresh else STALE
        path = _make_path(kind, name, **query)
        called = await self._call('GET', path)
        if isinstance(called, Success):
            if called.unwrap().status == HTTPStatus.NOT_FOUND:
                return Success(None)
        return called.bind(_take_body).bind(
            partial(self._reader.decode_one, kind)
        )

    async def fetch_all(
        self,
        kind: Kind,
        fresh: bool = True,
    ) -> Result[Changes, PlatformFault]:
        """Return all objects of a kind and where a watch goes on."""
        pages: list[StorePage] = []
        query = {} if fresh else dict(STALE)
        era = self._eras.current
        while len(pages) < MOST_PAGES:
            called = await self._call('GET', _make_path(kind, **query))
            decoded = called.bind(_take_body).bind(_decode_page)
            if isinstance(decoded, Failure):
                return decoded
            if pages and self._eras.current != era:
                # Pages of two eras are no list of either.
                return Failure(PlatformFault.FORMER_ERA)
            era = self._eras.current
            page = decoded.unwrap()
            pages.append(page)
            if not page.has_more:
                break
            if not page.last_name:
                return Failure(PlatformFault.UNREADABLE)
            query['since_rev'] = page.last_name
        changes = self._reader.gather(kind, pages)
        # Changes after the first page are seen by the watch.
        return Success(
            msgspec.structs.replace(
                changes, revision=pages[0].revision, complete=True
            ),
        )

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
        called = await self._call(method, path, raw)
        return called.bind(_take_body).bind(
            partial(self._reader.decode_one, kind)
        )

    async def delete(
        self,
        kind: Kind,
        name: str,
    ) -> Result[None, PlatformFault]:
        """Delete an object."""
        called = await self._call('DELETE', _make_path(kind, name))
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
        called = await self._call(
            'GET',
            _make_path(kinds[0], **query),
            extra=seconds + WATCH_MARGIN,
        )
        decoded = called.bind(_take_body).bind(_decode_page)
        if isinstance(decoded, Failure):
            return decoded
        page = decoded.unwrap()
        changes = self._reader.gather(kinds[0], [page])
        return Success(
            msgspec.structs.replace(changes, revision=page.revision),
        )

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        extra: float = 0,
    ) -> Result[HttpResponse, PlatformFault]:
        """Return an answer of the present era."""
        called = await self._calls.call(method, path, body, extra)
        return called.bind(self._check_era)

    def _check_era(
        self,
        answer: HttpResponse,
    ) -> Result[HttpResponse, PlatformFault]:
        era = _read_era(answer.find_header(ERA_HEADER))
        if era == UNREPORTED_ERA and answer.status in _REFUSALS:
            # What turned the call away need not be the store itself.
            return Success(answer)
        if self._eras.observe(era):
            return Success(answer)
        return Failure(PlatformFault.FORMER_ERA)


def _read_era(text: str | None) -> StoreEra:
    """Return the era that an answer tells, if it tells a readable one."""
    if text is None:
        return UNREPORTED_ERA
    if text.isascii() and text.isdecimal():
        return StoreEra(int(text))
    log_warning('store_era_unreadable', text=text[:ERA_TEXT_LENGTH])
    return UNREPORTED_ERA


def _make_path(kind: Kind, name: str = '', **query: str) -> str:
    path = f'/api/objects/{_WORD_BY_KIND[kind]}'
    if name:
        path = f'{path}/{quote(name, safe="")}'
    return f'{path}?{urlencode(query)}' if query else path


def _take_body(answer: HttpResponse) -> Result[bytes, PlatformFault]:
    if answer.status < HTTPStatus.MULTIPLE_CHOICES:
        return Success(answer.raw)
    # The store says of a 503 that nothing was done.
    return Failure(_FAULT_BY_STATUS.get(answer.status, PlatformFault.REFUSED))


def _refuse_answer(error: ValueError) -> Failure[PlatformFault]:
    log_warning('store_answer_unreadable', error=str(error))
    return Failure(PlatformFault.UNREADABLE)


def _decode_page(raw: bytes) -> Result[StorePage, PlatformFault]:
    try:
        return Success(decode_page(raw))
    except ValueError as error:
        return _refuse_answer(error)


class _ObjectReader:
    """Turns objects of the store into the project's types."""

    def __init__(self) -> None:
        """Have told of no foreign object."""
        self._told: OrderedDict[tuple[Kind, str], int] = OrderedDict()

    def gather(self, kind: Kind, pages: list[StorePage]) -> Changes:
        """Return what some pages hold, but where a watch goes on."""
        found = [one for page in pages for one in page.objects]
        foreign = [other for page in pages for other in page.foreign]
        names = [other.name for other in foreign if other.name]
        for unframed in foreign:
            self._tell_foreign(kind, unframed)
        nameless = len(foreign) - len(names)
        stored = []
        for framed in found:
            read = self.read(kind, framed)
            if read is None:
                names.append(framed.name)
            else:
                stored.append(read)
        return Changes(
            0,
            tuple(stored),
            unreadable=tuple(names),
            nameless=nameless,
        )

    def read(self, kind: Kind, found: StoredObject) -> Stored | None:
        """Return an object, or nothing where it is another writer's."""
        if found.removed:
            return Stored(kind.value, found.name, found.revision)
        decoder = _DECODER_BY_KIND.get(kind, _keep_plain)
        try:
            body = decoder(found.name, found.spec)
        except (ValueError, TypeError, OverflowError) as error:
            foreign = ForeignObject(found.name, found.revision, str(error))
            self._tell_foreign(kind, foreign)
            return None
        return Stored(kind.value, found.name, found.revision, body)

    def decode_one(
        self,
        kind: Kind,
        raw: bytes,
    ) -> Result[Any, PlatformFault]:
        """Return the one object of an answer."""
        try:
            stored = self.read(kind, decode_object(raw))
        except ValueError as error:
            return _refuse_answer(error)
        if stored is None:
            return Failure(PlatformFault.UNREADABLE)
        return Success(stored)

    def _tell_foreign(self, kind: Kind, foreign: ForeignObject) -> None:
        """Log an object of another writer, once a revision."""
        key = (kind, foreign.name)
        if self._told.get(key) == foreign.revision:
            return
        self._told[key] = foreign.revision
        while len(self._told) > MOST_TOLD:
            self._told.popitem(last=False)
        log_warning(
            'object_unreadable',
            kind=kind.value,
            name=foreign.name,
            revision=foreign.revision,
            error=foreign.error,
        )
