"""Small GET calls that are answered at once, such as readiness."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from http import HTTPStatus

import msgspec
from twisted.web.resource import Resource
from twisted.web.server import Request, Site


class QueryResponse(msgspec.Struct, frozen=True):
    """An answer."""

    status: int
    """HTTP status."""

    raw: bytes = b''
    """Body."""

    content_type: str = 'application/json'
    """Type of the body."""


QueryHandler = Callable[[Mapping[str, str]], QueryResponse]
"""Answers a call with the values of its query."""


class _Desk(Resource):
    isLeaf = True

    def __init__(self, handlers: Mapping[str, QueryHandler]) -> None:
        super().__init__()
        self._handlers = handlers

    def render(self, request: Request) -> bytes:
        handler = self._handlers.get(request.path.decode('latin-1'))
        if handler is None or request.method != b'GET':
            answer = QueryResponse(HTTPStatus.NOT_FOUND)
        else:
            query = {
                name.decode('latin-1'): texts[-1].decode('latin-1')
                for name, texts in request.args.items()
            }
            answer = handler(query)
        request.setResponseCode(answer.status)
        request.setHeader(b'content-type', answer.content_type.encode())
        return answer.raw


class QuerySite(Site):
    """Answers small GET calls.

    Parameters
    ----------
    handlers
        Handlers by path.
    """

    displayTracebacks = False

    def __init__(self, handlers: Mapping[str, QueryHandler]) -> None:
        """Serve with these handlers."""
        super().__init__(_Desk(handlers))

    def log(self, request: Request) -> None:
        """Write no access log: these calls come each second."""
