"""Blocking clients of the two HTTP ports, for tools and tests."""

from __future__ import annotations

import json
from collections.abc import Mapping
from http.client import HTTPConnection, HTTPException
from typing import Any
from urllib.parse import urlsplit

import attrs

DEFAULT_TIMEOUT = 30.0
"""Seconds for one exchange."""


class UnreachableError(Exception):
    """The other side can't be reached, or broke off."""


@attrs.frozen
class Answer:
    """An answer that came whole."""

    status: int
    """HTTP status."""

    headers: Mapping[str, str]
    """Headers with names in lower case."""

    body: bytes
    """Body."""

    def read_json(self) -> Any:
        """Return the body as plain values."""
        return json.loads(self.body)


def call_http(
    url: str,
    method: str = 'GET',
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
    timeout: float = DEFAULT_TIMEOUT,
) -> Answer:
    """Make one exchange on a connection of its own.

    Raises
    ------
    UnreachableError
        When there is no answer, or it was cut short.
    """
    parts = urlsplit(url)
    query = f'?{parts.query}' if parts.query else ''
    path = parts.path or '/'
    connection = HTTPConnection(
        parts.hostname or '',
        parts.port,
        timeout=timeout,
    )
    try:
        connection.request(method, path + query, body, dict(headers or {}))
        response = connection.getresponse()
        return Answer(
            response.status,
            {name.lower(): text for name, text in response.getheaders()},
            response.read(),
        )
    except (OSError, HTTPException) as error:
        raise UnreachableError(f'{method} {url}: {error!r}') from error
    finally:
        connection.close()


class AdminClient:
    """Calls the administration port of one entry box.

    Parameters
    ----------
    url
        Address of the port, ``http://IP:PORT``.
    key
        An operator's key.
    """

    def __init__(self, url: str, key: str) -> None:
        """Keep the address."""
        self._url = url.rstrip('/')
        self._key = key

    def call(self, method: str, path: str, body: Any = None) -> Answer:
        """Make a call.

        Raises
        ------
        UnreachableError
            When there is no answer.
        """
        raw = None if body is None else json.dumps(body).encode()
        return call_http(
            f'{self._url}{path}',
            method,
            raw,
            {'authorization': f'Bearer {self._key}'},
        )


class CallerClient:
    """Calls services through the entry boxes, as a caller would.

    Parameters
    ----------
    url
        Caller port of any entry box.
    key
        Key of the client account.
    """

    def __init__(self, url: str, key: str) -> None:
        """Keep where to begin."""
        self._first = url.rstrip('/')
        self._key = key
        self.entries: list[str] = []
        self.prefix = ''

    def refresh(self) -> None:
        """Ask for the entry list.

        Raises
        ------
        UnreachableError
            When no known entry box answers.
        """
        for url in (self._first, *self.entries):
            try:
                listed = call_http(f'{url}/entries', timeout=5).read_json()
            except UnreachableError:
                continue
            self.entries = [
                f'http://{entry["host"]}:{entry["port"]}'
                for entry in listed['entries']
            ]
            self.prefix = listed['request_id_prefix']
            return
        raise UnreachableError('no entry box answers')

    def call(
        self,
        path: str,
        method: str = 'GET',
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        entry: int = 0,
    ) -> Answer:
        """Make a request through one of the listed entry boxes.

        Raises
        ------
        UnreachableError
            When there is no answer, or it was cut short.
        """
        url = self.entries[entry % len(self.entries)]
        return call_http(
            f'{url}{path}',
            method,
            body,
            {'authorization': f'Bearer {self._key}', **(headers or {})},
        )
