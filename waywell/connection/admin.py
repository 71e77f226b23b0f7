"""The port for operators: JSON over HTTP, with operators' keys."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import attrs
import msgspec
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from waywell.codes import Code, Ran, Refusal
from waywell.connection.deferreds import start_task
from waywell.telemetry.events import log_event, log_warning
from waywell.version.selector import Selector

if TYPE_CHECKING:
    from twisted.web.http import Request

MAX_BODY_BYTES = 2_000_000
"""Largest order: above the platform's limit, so that it can be named."""

AdminHandler = Callable[['AdminCall'], Awaitable[Any]]
"""Answers a call with plain values."""


@attrs.frozen
class AdminCall:
    """One call of an operator."""

    body: Any
    """Plain values of its body."""

    query: dict[str, list[str]]
    """Its query."""

    def get_text(self, name: str, default: str = '') -> str:
        """Return one text of the query."""
        return self.query.get(name, [default])[-1]

    def get_integer(self, name: str, default: int) -> int:
        """Return one number of the query.

        Raises
        ------
        Refusal
            When it is no number.
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
        """Return the selector that ``label=key:value`` make up.

        Raises
        ------
        Refusal
            When one of them has another form.
        """
        match: dict[str, list[str]] = {}
        for text in self.query.get('label', []):
            key, mark, wanted = text.partition(':')
            if not mark:
                raise Refusal(Code.BAD_DOCUMENT, detail='label: key:value')
            match.setdefault(key, []).append(wanted)
        return Selector(match=match)


@attrs.frozen
class AdminBackend:
    """What the port needs of the node."""

    find_operator: Callable[[str], str | None]
    """Returns the operator whom a key belongs to."""

    handlers: dict[tuple[str, str], AdminHandler]
    """Handlers by method and path."""

    render_metrics: Callable[[], bytes]
    """Returns the metrics in text form."""


class AdminResource(Resource):
    """Answers operators and the scraper of metrics.

    Parameters
    ----------
    backend
        The node.
    """

    isLeaf = True

    def __init__(self, backend: AdminBackend) -> None:
        """Answer for a node."""
        super().__init__()
        self._backend = backend

    def render(self, request: Request) -> int:
        """Answer one call."""
        if request.path == b'/metrics':
            request.setHeader(b'content-type', b'text/plain; version=0.0.4')
            _write(request, HTTPStatus.OK, self._backend.render_metrics())
            return int(NOT_DONE_YET)
        serving = start_task(self._serve(request))
        serving.addErrback(_fail, request)
        return int(NOT_DONE_YET)

    async def _serve(self, request: Request) -> None:
        try:
            answer = await self._answer(request)
        except Refusal as refusal:
            raw = msgspec.json.encode(refusal.describe())
            _write(request, refusal.status, raw)
            return
        _write(request, HTTPStatus.OK, msgspec.json.encode(answer))

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


def _write(request: Request, status: int, raw: bytes) -> None:
    if request._disconnected:  # noqa: SLF001
        return
    request.setResponseCode(status)
    if not request.responseHeaders.hasHeader(b'content-type'):
        request.setHeader(b'content-type', b'application/json')
    request.setHeader(b'content-length', str(len(raw)).encode())
    request.write(raw)
    request.finish()


def _fail(failure: Any, request: Request) -> None:
    """Answer a call that met a fault of our own."""
    log_warning('admin_call_failed', error=repr(failure.value))
    refusal = Refusal(Code.OUTCOME_UNKNOWN, Ran.MAY_HAVE_RUN)
    _write(
        request,
        HTTPStatus.INTERNAL_SERVER_ERROR,
        msgspec.json.encode(refusal.describe()),
    )


def make_admin_site(backend: AdminBackend) -> Site:
    """Return the site that serves operators."""
    site = Site(AdminResource(backend))
    site.displayTracebacks = False
    return site
