"""Client of the platform's object API over HTTP and JSON."""

from __future__ import annotations

from http import HTTPStatus
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, TypeVar
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success

from waywell.connection.http_client import HttpClient, HttpResponse
from waywell.connection.lenient_json import DECODING_ERRORS, parse_leniently
from waywell.connection.platform import (
    Changes,
    Kind,
    Platform,
    PlatformFault,
    Stored,
)
from waywell.telemetry.events import log_warning

if TYPE_CHECKING:
    from collections.abc import Sequence

Decoded = TypeVar('Decoded', Stored, Changes)
"""Type that an answer is decoded to."""

MAX_BODY_BYTES = 33_554_432
"""Maximum size of the answer to a call in bytes.  A list is not divided into
pages, so it holds all objects of a kind."""

WATCH_MARGIN = 3.0
"""Seconds after the end of a watch's wait at which it counts as unanswered."""

_FAULT_BY_STATUS: MappingProxyType[int, PlatformFault] = MappingProxyType(
    {
        HTTPStatus.CONFLICT: PlatformFault.CONFLICT,
        HTTPStatus.PRECONDITION_FAILED: PlatformFault.CONFLICT,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE: PlatformFault.TOO_LARGE,
    },
)


class HttpPlatform(Platform):
    """Calls the object API at a base address.

    Parameters
    ----------
    url
        Base address.
    timeout
        Seconds until a call counts as unanswered.
    """

    def __init__(self, url: str, timeout: float) -> None:
        """Set up the HTTP calls; connections are opened on demand."""
        self._calls = HttpClient(url, timeout, max_body_bytes=MAX_BODY_BYTES)

    async def fetch(
        self,
        kind: Kind,
        name: str,
        fresh: bool = True,
    ) -> Result[Stored | None, PlatformFault]:
        """Return an object, or ``None`` if it does not exist."""
        answer = await self._call('GET', _make_path(kind, name))
        if isinstance(answer, Failure):
            return answer
        raw = answer.unwrap()
        if raw is None:
            return Success(None)
        return _decode(raw, Stored)

    async def fetch_all(
        self,
        kind: Kind,
        fresh: bool = True,
    ) -> Result[Changes, PlatformFault]:
        """Return all objects of a kind and the revision to watch from."""
        return await self._call_changes(f'/objects/{kind.value}', 0)

    async def write(
        self,
        kind: Kind,
        name: str,
        body: Any,
        expected: int,
    ) -> Result[Stored, PlatformFault]:
        """Write an object if its version is the expected one."""
        path = f'{_make_path(kind, name)}?expected={expected}'
        answer = await self._call('PUT', path, msgspec.json.encode(body))
        if isinstance(answer, Failure):
            return answer
        stored = _decode(answer.unwrap(), Stored)
        return stored.map(
            lambda written: msgspec.structs.replace(written, body=body)
        )

    async def delete(
        self,
        kind: Kind,
        name: str,
    ) -> Result[None, PlatformFault]:
        """Delete an object."""
        answer = await self._call('DELETE', _make_path(kind, name))
        return answer.map(lambda _raw: None)

    async def watch(
        self,
        kinds: Sequence[Kind],
        after: int,
        seconds: float,
    ) -> Result[Changes, PlatformFault]:
        """Return the changes after a revision; wait up to some seconds."""
        names = ','.join(kind.value for kind in kinds)
        path = f'/watch?kinds={names}&after={after}&wait={seconds}'
        return await self._call_changes(path, seconds + WATCH_MARGIN)

    async def _call_changes(
        self,
        path: str,
        extra: float,
    ) -> Result[Changes, PlatformFault]:
        answer = await self._call('GET', path, extra=extra)
        if isinstance(answer, Failure):
            return answer
        return _decode(answer.unwrap(), Changes)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        extra: float = 0,
    ) -> Result[bytes | None, PlatformFault]:
        """Return the body of the answer, or ``None`` for status 404."""
        called = await self._calls.call(method, path, body, extra)
        return called.bind(_check_status)


def _check_status(answer: HttpResponse) -> Result[bytes | None, PlatformFault]:
    if answer.status == HTTPStatus.NOT_FOUND:
        return Success(None)
    if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return Failure(PlatformFault.UNANSWERED)
    if answer.status >= HTTPStatus.BAD_REQUEST:
        return Failure(
            _FAULT_BY_STATUS.get(answer.status, PlatformFault.REFUSED),
        )
    return Success(answer.raw)


def _decode(
    raw: bytes | None, expected_type: type[Decoded]
) -> Result[Decoded, PlatformFault]:
    """Return the decoded answer; a truncated one counts as unanswered."""
    try:
        return Success(_decode_leniently(raw or b'', expected_type))
    except DECODING_ERRORS as error:
        log_warning('platform_answer_unreadable', error=str(error))
        return Failure(PlatformFault.UNANSWERED)


def _decode_leniently(raw: bytes, expected_type: type[Decoded]) -> Decoded:
    """Return the decoded answer without objects that can't be decoded."""
    try:
        return msgspec.json.decode(raw, type=expected_type)
    except DECODING_ERRORS:
        plain = parse_leniently(raw)
    if isinstance(plain, dict) and isinstance(plain.get('objects'), list):
        readable = [found for found in plain['objects'] if _is_readable(found)]
        log_warning(
            'objects_unreadable',
            count=len(plain['objects']) - len(readable),
        )
        plain = {**plain, 'objects': readable}
    return msgspec.convert(plain, expected_type)


def _is_readable(plain: Any) -> bool:
    try:
        # Encoding detects strings of invalid UTF-8 at any depth.
        msgspec.json.encode(plain)
        msgspec.convert(plain, Stored)
    except DECODING_ERRORS:
        return False
    return True


def _make_path(kind: Kind, name: str) -> str:
    return f'/objects/{kind.value}/{quote(name, safe="")}'
