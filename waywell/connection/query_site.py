"""HTTP site for GET queries answered synchronously, such as readiness."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec
from twisted.web.resource import Resource

from waywell.connection.bounded_site import BoundedSite

if TYPE_CHECKING:
    from twisted.web.server import Request


class QueryResponse(msgspec.Struct, frozen=True):
    """Response to a query."""

    status: int
    """HTTP status code."""

    raw: bytes = b''
    """Response body."""

    content_type: str = 'application/json'
    """Content type of the body."""


QueryHandler = Callable[[Mapping[str, str]], QueryResponse]
"""Handles a query, given the last value of each query parameter."""


class _QueryResource(Resource):
    """Passes each query to the handler of its path."""

    isLeaf = True

    def __init__(self, handlers: Mapping[str, QueryHandler]) -> None:
        super().__init__()
        self._handlers = handlers

    def render(self, request: Request) -> bytes:
        handler = self._handlers.get(request.path.decode('latin-1'))
        if handler is None or request.method != b'GET':
            response = QueryResponse(HTTPStatus.NOT_FOUND)
        else:
            query = {
                name.decode('latin-1'): texts[-1].decode('latin-1')
                for name, texts in request.args.items()
            }
            response = handler(query)
        request.setResponseCode(response.status)
        request.setHeader(b'content-type', response.content_type.encode())
        return response.raw


class QuerySite(BoundedSite):
    """Site that answers GET queries.

    Parameters
    ----------
    handlers
        Handlers by path; other paths get status 404.
    connections
        Open connections above which the oldest one is closed.
    """

    def __init__(
        self, handlers: Mapping[str, QueryHandler], connections: int
    ) -> None:
        """Serve the given paths."""
        super().__init__(_QueryResource(handlers), 0, connections)
