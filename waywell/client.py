"""Blocking clients of the caller and administration ports.

They are meant for tools and tests.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from http.client import HTTPConnection, HTTPException
from typing import Any
from urllib.parse import urlsplit

import attrs

DEFAULT_TIMEOUT = 30.0
"""Timeout of a call, in seconds."""


class UnreachableError(Exception):
    """The server can't be reached, or the connection broke."""


@attrs.frozen
class Answer:
    """A complete HTTP answer."""

    status: int
    """HTTP status code."""

    headers: Mapping[str, str]
    """Headers by name in lower case."""

    body: bytes
    """Content of the answer, decoded from its transfer encoding only."""

    def read_json(self) -> Any:
        """Return the values in a JSON body."""
        return json.loads(self.body)


def call_http(
    url: str,
    method: str = 'GET',
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
    timeout: float = DEFAULT_TIMEOUT,
) -> Answer:
    """Send a request on a new connection and return the answer.

    Raises
    ------
    UnreachableError
        When there is no answer, or it is incomplete.
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
    """Client of the administration port of one entry box.

    Parameters
    ----------
    url
        URL of the port, ``http://IP:PORT``.
    key
        Key of an operator.
    """

    def __init__(self, url: str, key: str) -> None:
        """Create a client, which connects at each call."""
        self._url = url.rstrip('/')
        self._key = key

    def call(self, method: str, path: str, body: Any = None) -> Answer:
        """Make a call with a JSON body, if any.

        Raises
        ------
        UnreachableError
            When there is no answer, or it is incomplete.
        """
        raw = None if body is None else json.dumps(body).encode()
        return call_http(
            f'{self._url}{path}',
            method,
            raw,
            {'authorization': f'Bearer {self._key}'},
        )


class CallerClient:
    """Client of services, which sends its requests through the entry boxes.

    Parameters
    ----------
    url
        URL of the caller port of any entry box.
    key
        Key of the client account.
    """

    def __init__(self, url: str, key: str) -> None:
        """Create a client without an entry list; ``refresh`` fetches it."""
        self._initial_url = url.rstrip('/')
        self._key = key
        self.entries: list[str] = []
        self.prefix = ''

    def refresh(self) -> None:
        """Fetch the entry list from the first known entry box that answers.

        Raises
        ------
        UnreachableError
            When no known entry box answers.
        """
        for url in (self._initial_url, *self.entries):
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
        raise UnreachableError('no known entry box answers')

    def call(
        self,
        path: str,
        method: str = 'GET',
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        entry: int = 0,
    ) -> Answer:
        """Send a request through a listed entry box, chosen by its index.

        Raises
        ------
        UnreachableError
            When there is no answer, or it is incomplete.
        """
        url = self.entries[entry % len(self.entries)]
        return call_http(
            f'{url}{path}',
            method,
            body,
            {'authorization': f'Bearer {self._key}', **(headers or {})},
        )
