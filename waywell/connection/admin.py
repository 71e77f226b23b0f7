"""HTTP API for operators, with JSON bodies and API keys."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import attrs
import msgspec
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from waywell.codes import Code, Ran, Refusal
from waywell.connection.bounded_site import BoundedSite
from waywell.connection.deferreds import start_task
from waywell.telemetry.events import log_event, log_warning
from waywell.version.selector import Selector

if TYPE_CHECKING:
    from twisted.web.http import Request

MAX_BODY_BYTES = 2_000_000
"""Largest request body, in bytes.  It exceeds the size limit of the platform,
so that a document over that limit gets a refusal that names the limit."""

AdminHandler = Callable[['AdminCall'], Awaitable[Any]]
"""Handles a call and returns the answer as values that JSON can encode."""


@attrs.frozen
class AdminCall:
    """Decoded request of an operator."""

    body: Any
    """Decoded JSON body, or ``None`` for an empty one."""

    query: dict[str, list[str]]
    """Values of the query parameters by name."""

    def get_text(self, name: str, default: str = '') -> str:
        """Return the last value of a query parameter."""
        return self.query.get(name, [default])[-1]

    def get_integer(self, name: str, default: int) -> int:
        """Return the last value of a query parameter as an integer.

        Raises
        ------
        Refusal
            If the value is not an integer.
        """
        text = self.get_text(name, str(default))
        try:
            return int(text)
        except ValueError as error:
            raise Refusal(
                Code.BAD_DOCUMENT,
                detail=f'{name}: a whole number',
            ) from error

    def get_selector(self) -> Selector:
        """Return the selector that the ``label=key:value`` parameters form.

        Raises
        ------
        Refusal
            If a ``label`` parameter has no colon.
        """
        match: dict[str, list[str]] = {}
        for text in self.query.get('label', []):
            key, separator, label = text.partition(':')
            if not separator:
                raise Refusal(Code.BAD_DOCUMENT, detail='label: key:value')
            match.setdefault(key, []).append(label)
        return Selector(match=match)


@attrs.frozen
class AdminBackend:
    """Functions of the node that the operator API calls."""

    find_operator: Callable[[str], str | None]
    """Returns the operator that owns a key, or ``None`` for an unknown key."""

    handlers: dict[tuple[str, str], AdminHandler]
    """Handlers by HTTP method and path."""

    render_metrics: Callable[[], bytes]
    """Returns the metrics in the text format of Prometheus."""


class AdminResource(Resource):
    """Resource that serves operators and the metrics scraper.

    Parameters
    ----------
    backend
        Functions of the node that serve the calls.
    """

    isLeaf = True

    def __init__(self, backend: AdminBackend) -> None:
        """Keep the functions of the node."""
        super().__init__()
        self._backend = backend

    def render(self, request: Request) -> int:
        """Serve the metrics at once, and everything else in a task."""
        if request.path == b'/metrics':
            request.setHeader(b'content-type', b'text/plain; version=0.0.4')
            _write_response(
                request, HTTPStatus.OK, self._backend.render_metrics()
            )
            return int(NOT_DONE_YET)
        serving_task = start_task(self._serve(request))
        serving_task.addErrback(_respond_to_failure, request)
        return int(NOT_DONE_YET)

    async def _serve(self, request: Request) -> None:
        try:
            answer = await self._answer(request)
        except Refusal as refusal:
            raw = msgspec.json.encode(refusal.describe())
            _write_response(request, refusal.status, raw)
            return
        _write_response(request, HTTPStatus.OK, msgspec.json.encode(answer))

    async def _answer(self, request: Request) -> Any:
        method = request.method.decode('latin-1')
        path = request.path.decode('latin-1')
        operator = self._find_operator(request)
        handler = self._backend.handlers.get((method, path))
        if handler is None:
            raise Refusal(Code.NOT_FOUND, detail=f'{method} {path}')
        if method != 'GET':
            log_event('order', operator=operator, method=method, path=path)
        return await handler(_read_call(request))

    def _find_operator(self, request: Request) -> str:
        header = request.getHeader('authorization') or ''
        key = header.removeprefix('Bearer ').strip()
        operator = self._backend.find_operator(key)
        if operator is None:
            raise Refusal(Code.FORBIDDEN)
        return operator


def _read_call(request: Request) -> AdminCall:
    raw = request.content.read(MAX_BODY_BYTES + 1)
    if len(raw) > MAX_BODY_BYTES:
        raise Refusal(Code.DOCUMENT_TOO_LARGE)
    query = {
        name.decode(): [text.decode() for text in texts]
        for name, texts in request.args.items()
    }
    try:
        body = msgspec.json.decode(raw) if raw else None
    except msgspec.MsgspecError as error:
        raise Refusal(Code.BAD_DOCUMENT, detail=str(error)) from error
    return AdminCall(body, query)


def _write_response(request: Request, status: int, raw: bytes) -> None:
    if request._disconnected:  # noqa: SLF001
        return
    request.setResponseCode(status)
    if not request.responseHeaders.hasHeader(b'content-type'):
        request.setHeader(b'content-type', b'application/json')
    request.setHeader(b'content-length', str(len(raw)).encode())
    request.write(raw)
    request.finish()


def _respond_to_failure(failure: Any, request: Request) -> None:
    """Respond to a call whose handler raised an unexpected exception."""
    log_warning('admin_call_failed', error=repr(failure.value))
    refusal = Refusal(Code.OUTCOME_UNKNOWN, Ran.MAY_HAVE_RUN)
    _write_response(
        request,
        HTTPStatus.INTERNAL_SERVER_ERROR,
        msgspec.json.encode(refusal.describe()),
    )


def make_admin_site(backend: AdminBackend, connections: int) -> BoundedSite:
    """Return the site of the operator API, with a limit of connections."""
    return BoundedSite(AdminResource(backend), MAX_BODY_BYTES, connections)
