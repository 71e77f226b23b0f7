"""Client of the platform's object store."""

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
from waywell.connection.lenient_json import DECODING_ERRORS
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
"""Seconds that a watch may take beyond its wait and the timeout of a call."""

ERA_HEADER = 'store-era'

MAX_LOGGED_ERA_LENGTH = 32
"""Maximum logged characters of an unreadable era."""

STALE_READ_QUERY = MappingProxyType({'serializable': '1'})
"""Query of a read that may be seconds old, at a tenth of the cost."""

MAX_BODY_BYTES = 16_777_216
"""Maximum size of the answer to a call in bytes.

A page of a list holds about 1 MB, and an object at most 1,048,576 bytes.  A
watch that has waited delivers all changes since, such as those of the entries
of 1,000 boxes.
"""

MAX_PAGES = 1000
"""Maximum pages of one list, so that a list without an end is abandoned.

At 50 objects per page, this is about twenty times the number of boxes that the
system is designed for.
"""

MAX_LOGGED_OBJECTS = 1000
"""Maximum foreign objects whose revision is remembered to log each once."""

_PATH_BY_KIND = MappingProxyType(
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

_REJECTION_STATUSES = frozenset(
    (
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.BAD_GATEWAY,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.GATEWAY_TIMEOUT,
    ),
)
"""HTTP statuses of rejected calls, which carry no content."""

BodyDecoder = Callable[[str, Any], Any]
"""Decodes the name and the plain body of an object into the project's type."""


def _keep_plain(_name: str, spec: Any) -> Any:
    return spec


def _decode_configuration(_name: str, spec: Any) -> Any:
    return decode_manifest(spec)


_DECODER_BY_KIND: MappingProxyType[Kind, BodyDecoder] = MappingProxyType(
    {Kind.CONFIGURATION: _decode_configuration, Kind.BOX: decode_server},
)


class ObjectStore(Platform):
    """Client of the object store at an address.

    Parameters
    ----------
    address
        ``IP:PORT``.
    timeout
        Timeout of a call in seconds.
    eras
        Tracks the store era that each answer reports.
    """

    def __init__(
        self,
        address: str,
        timeout: float,
        eras: EraTracker | None = None,
    ) -> None:
        """Create the client; connections are opened on the first call."""
        self._eras = eras or EraTracker()
        self._calls = HttpClient(
            f'http://{address}',
            timeout,
            {'content-type': 'application/json'},
            max_body_bytes=MAX_BODY_BYTES,
        )
        self._decoder = _ObjectDecoder()

    async def fetch(
        self,
        kind: Kind,
        name: str,
        fresh: bool = True,
    ) -> Result[Stored | None, PlatformFault]:
        """Return an object, or ``None`` if it does not exist."""
        query = {} if fresh else STALE_READ_QUERY
        path = _make_path(kind, name, **query)
        result = await self._call('GET', path)
        if isinstance(result, Success):
            if result.unwrap().status == HTTPStatus.NOT_FOUND:
                return Success(None)
        return result.bind(_extract_body).bind(
            partial(self._decoder.decode_one, kind)
        )

    async def fetch_all(
        self,
        kind: Kind,
        fresh: bool = True,
    ) -> Result[Changes, PlatformFault]:
        """Return all objects of a kind and the revision to watch from."""
        pages: list[StorePage] = []
        query = {} if fresh else dict(STALE_READ_QUERY)
        era = self._eras.current
        while len(pages) < MAX_PAGES:
            result = await self._call('GET', _make_path(kind, **query))
            decoded = result.bind(_extract_body).bind(_decode_page)
            if isinstance(decoded, Failure):
                return decoded
            if pages and self._eras.current != era:
                # Pages of two eras do not form a list of either era.
                return Failure(PlatformFault.FORMER_ERA)
            era = self._eras.current
            page = decoded.unwrap()
            pages.append(page)
            if not page.has_more:
                break
            if not page.last_name:
                return Failure(PlatformFault.UNREADABLE)
            query['since_rev'] = page.last_name
        changes = self._decoder.merge_pages(kind, pages)
        # The watch delivers the changes made after the first page.
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
        """Write an object if its stored version is the expected one."""
        meta = {'name': name, 'revision': expected}
        method = 'PUT' if expected else 'POST'
        path = _make_path(kind, name) if expected else _make_path(kind)
        if not expected:
            meta.pop('revision')
        raw = msgspec.json.encode({'metadata': meta, 'spec': body})
        result = await self._call(method, path, raw)
        return result.bind(_extract_body).bind(
            partial(self._decoder.decode_one, kind)
        )

    async def delete(
        self,
        kind: Kind,
        name: str,
    ) -> Result[None, PlatformFault]:
        """Delete an object."""
        result = await self._call('DELETE', _make_path(kind, name))
        return result.bind(_extract_body).map(lambda _raw: None)

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
            When not exactly one kind is given.
        """
        if len(kinds) != 1:
            raise ValueError('the store can watch only one kind per call')
        query = {'watch': str(after), 'wait_ms': str(round(seconds * 1000))}
        result = await self._call(
            'GET',
            _make_path(kinds[0], **query),
            extra=seconds + WATCH_MARGIN,
        )
        decoded = result.bind(_extract_body).bind(_decode_page)
        if isinstance(decoded, Failure):
            return decoded
        page = decoded.unwrap()
        changes = self._decoder.merge_pages(kinds[0], [page])
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
        """Return the answer to a call, or a fault if it is of a former era."""
        result = await self._calls.call(method, path, body, extra)
        return result.bind(self._check_era)

    def _check_era(
        self,
        answer: HttpResponse,
    ) -> Result[HttpResponse, PlatformFault]:
        era = _read_era(answer.find_header(ERA_HEADER))
        if era == UNREPORTED_ERA and answer.status in _REJECTION_STATUSES:
            # The call may have been rejected by a proxy, not by the store.
            return Success(answer)
        if self._eras.observe(era):
            return Success(answer)
        return Failure(PlatformFault.FORMER_ERA)


def _read_era(text: str | None) -> StoreEra:
    """Return the era in a header, or the unreported era if unreadable."""
    if text is None:
        return UNREPORTED_ERA
    if text.isascii() and text.isdecimal():
        return StoreEra(int(text))
    log_warning('store_era_unreadable', text=text[:MAX_LOGGED_ERA_LENGTH])
    return UNREPORTED_ERA


def _make_path(kind: Kind, name: str = '', **query: str) -> str:
    path = f'/api/objects/{_PATH_BY_KIND[kind]}'
    if name:
        path = f'{path}/{quote(name, safe="")}'
    return f'{path}?{urlencode(query)}' if query else path


def _extract_body(answer: HttpResponse) -> Result[bytes, PlatformFault]:
    if answer.status < HTTPStatus.MULTIPLE_CHOICES:
        return Success(answer.raw)
    # With a 503, the store guarantees that nothing was done.
    return Failure(_FAULT_BY_STATUS.get(answer.status, PlatformFault.REFUSED))


def _reject_unreadable(error: ValueError) -> Failure[PlatformFault]:
    log_warning('store_answer_unreadable', error=str(error))
    return Failure(PlatformFault.UNREADABLE)


def _decode_page(raw: bytes) -> Result[StorePage, PlatformFault]:
    try:
        return Success(decode_page(raw))
    except ValueError as error:
        return _reject_unreadable(error)


class _ObjectDecoder:
    """Decodes objects of the store into the project's types."""

    def __init__(self) -> None:
        """Start with no foreign object logged."""
        self._logged_revisions: OrderedDict[tuple[Kind, str], int] = (
            OrderedDict()
        )

    def merge_pages(self, kind: Kind, pages: list[StorePage]) -> Changes:
        """Return the merged content of pages, without the store's revision."""
        found = [readable for page in pages for readable in page.objects]
        foreign = [unreadable for page in pages for unreadable in page.foreign]
        names = [unreadable.name for unreadable in foreign if unreadable.name]
        for unreadable in foreign:
            self._log_foreign(kind, unreadable)
        nameless = len(foreign) - len(names)
        stored = []
        for readable in found:
            decoded = self.decode(kind, readable)
            if decoded is None:
                names.append(readable.name)
            else:
                stored.append(decoded)
        return Changes(
            0,
            tuple(stored),
            unreadable=tuple(names),
            nameless=nameless,
        )

    def decode(self, kind: Kind, found: StoredObject) -> Stored | None:
        """Return a decoded object, or ``None`` if it is foreign."""
        if found.removed:
            return Stored(kind.value, found.name, found.revision)
        decoder = _DECODER_BY_KIND.get(kind, _keep_plain)
        try:
            body = decoder(found.name, found.spec)
        except DECODING_ERRORS as error:
            foreign = ForeignObject(found.name, found.revision, str(error))
            self._log_foreign(kind, foreign)
            return None
        return Stored(kind.value, found.name, found.revision, body)

    def decode_one(
        self,
        kind: Kind,
        raw: bytes,
    ) -> Result[Any, PlatformFault]:
        """Return the object of an answer with one object."""
        try:
            stored = self.decode(kind, decode_object(raw))
        except ValueError as error:
            return _reject_unreadable(error)
        if stored is None:
            return Failure(PlatformFault.UNREADABLE)
        return Success(stored)

    def _log_foreign(self, kind: Kind, foreign: ForeignObject) -> None:
        """Log a foreign object once per revision."""
        key = (kind, foreign.name)
        if self._logged_revisions.get(key) == foreign.revision:
            return
        self._logged_revisions[key] = foreign.revision
        while len(self._logged_revisions) > MAX_LOGGED_OBJECTS:
            self._logged_revisions.popitem(last=False)
        log_warning(
            'object_unreadable',
            kind=kind.value,
            name=foreign.name,
            revision=foreign.revision,
            error=foreign.error,
        )
