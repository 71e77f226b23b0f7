"""Parsing of a request's path and headers."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING
from urllib.parse import parse_qsl

import msgspec
from returns.result import Failure, Result, Success

from waywell.codes import Code, Refusal
from waywell.ids import PromptPart, RequestId, SessionId
from waywell.request.prompt_parts import decode_prompt_parts
from waywell.version.objects import DEFAULT_KIND

if TYPE_CHECKING:
    from collections.abc import Mapping

KIND_HEADER = 'waywell-kind'
"""Names the request kind, which routing rules may match."""

SESSION_HEADER = 'waywell-session'
"""Carries the session id; requests of a session go to the same group."""

LABELS_HEADER = 'waywell-session-labels'
"""Labels of the session, as ``key=value&key=value``."""

DEADLINE_HEADER = 'waywell-deadline'
"""Seconds from the arrival after which the answer is of no use."""

REPEATABLE_HEADER = 'waywell-repeatable'
"""Whether the request may run more than once, ``yes`` or ``no``."""

REQUEST_ID_HEADER = 'waywell-request-id'
"""Identifies a request that must run at most once."""

PROMPT_HEADER = 'waywell-prompt-parts'
"""Parts of the prompt in order, as ``ID:TOKENS`` separated by commas."""

MAX_DEADLINE = 86_400.0
"""Longest accepted deadline, in seconds."""

MAX_LABELS = 16
"""Maximum number of labels of a session."""

_NAME = re.compile(r'[A-Za-z0-9._:@-]{1,128}')


class RequestFacts(msgspec.Struct, frozen=True):
    """Properties of a request that its path and headers state."""

    service: str
    """Name of the requested service."""

    path: str
    """Path and query below the service."""

    key: str
    """Bearer key that identifies the client account."""

    kind: str = DEFAULT_KIND
    """Request kind, which routing rules may match."""

    session: SessionId | None = None
    """Session id as the caller gave it, if any."""

    session_labels: tuple[tuple[str, str], ...] = ()
    """Labels of the session as pairs of key and value, sorted."""

    deadline: float | None = None
    """Seconds from the arrival; ``None`` for the default of the service."""

    repeatable: bool = True
    """Whether targets may run the request more than once."""

    request_id: RequestId | None = None
    """Request id, if the caller gave one."""

    prompt_parts: tuple[PromptPart, ...] = ()
    """Parts of the prompt that other requests may share."""


def read_facts(
    method: str,
    target: str,
    headers: Mapping[str, str],
) -> Result[RequestFacts, Refusal]:
    """Return the facts of a request, or a refusal if it is malformed.

    Parameters
    ----------
    method
        HTTP method; GET and HEAD are repeatable unless a header denies it.
    target
        Path with query, ``/services/NAME/...``.
    headers
        Headers by lower-case name.
    """
    try:
        return Success(_read_facts(method, target, headers))
    except Refusal as refusal:
        return Failure(refusal)


def _read_facts(
    method: str,
    target: str,
    headers: Mapping[str, str],
) -> RequestFacts:
    service, path = _split_target(target)
    return RequestFacts(
        service=service,
        path=path,
        key=_read_key(headers),
        kind=_read_name(headers, KIND_HEADER) or DEFAULT_KIND,
        session=_read_session(headers),
        session_labels=_read_labels(headers),
        deadline=_read_deadline(headers),
        repeatable=_read_repeatable(headers, method),
        request_id=_read_request_id(headers),
        prompt_parts=decode_prompt_parts(headers.get(PROMPT_HEADER, '')),
    )


def _split_target(target: str) -> tuple[str, str]:
    parts = target.split('/', 3)
    if len(parts) < 3 or parts[1] != 'services' or not parts[2]:
        raise Refusal(Code.UNKNOWN_SERVICE, detail='use /services/NAME/...')
    rest = parts[3] if len(parts) > 3 else ''
    service, separator, query = parts[2].partition('?')
    return service, f'/{rest}{separator}{query}'


def _read_key(headers: Mapping[str, str]) -> str:
    scheme, _, key = headers.get('authorization', '').partition(' ')
    if scheme.lower() != 'bearer' or not key:
        raise Refusal(Code.UNKNOWN_KEY, detail='send a bearer key')
    return key.strip()


def _read_name(headers: Mapping[str, str], header: str) -> str | None:
    text = headers.get(header)
    if text is not None and not _NAME.fullmatch(text):
        raise Refusal(
            Code.BAD_HEADER,
            detail=f'{header}: 1 to 128 of letters, digits and ._:@-',
        )
    return text


def _read_session(headers: Mapping[str, str]) -> SessionId | None:
    name = _read_name(headers, SESSION_HEADER)
    return None if name is None else SessionId(name)


def _read_request_id(headers: Mapping[str, str]) -> RequestId | None:
    name = _read_name(headers, REQUEST_ID_HEADER)
    return None if name is None else RequestId(name)


def _read_labels(headers: Mapping[str, str]) -> tuple[tuple[str, str], ...]:
    text = headers.get(LABELS_HEADER, '')
    try:
        pairs = parse_qsl(
            text, strict_parsing=bool(text), max_num_fields=MAX_LABELS
        )
    except ValueError as error:
        raise Refusal(
            Code.BAD_HEADER,
            detail=f'{LABELS_HEADER}: key=value&key=value',
        ) from error
    return tuple(sorted(pairs))


def _read_deadline(headers: Mapping[str, str]) -> float | None:
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0
    if not 0 < seconds <= MAX_DEADLINE:
        raise Refusal(
            Code.BAD_DEADLINE,
            detail=f'{DEADLINE_HEADER}: seconds, above 0, up to a day',
        )
    return seconds


def _read_repeatable(headers: Mapping[str, str], method: str) -> bool:
    text = headers.get(REPEATABLE_HEADER)
    if text is None:
        return method in {'GET', 'HEAD'}
    if text not in {'yes', 'no'}:
        raise Refusal(
            Code.BAD_HEADER,
            detail=f'{REPEATABLE_HEADER}: yes or no',
        )
    return text == 'yes'
