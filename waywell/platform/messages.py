"""Headers of the platform's requests and responses."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

from waywell.codes import Code, Refusal
from waywell.connection.forwarding import (
    FORWARDED_HEADER,
    ForwardingHeader,
    parse_forwarding_header,
)
from waywell.connection.hop_headers import HOP_BY_HOP_HEADERS
from waywell.connection.limit_header import LIMIT_HEADER, read_limit
from waywell.connection.retry_after import RETRY_AFTER_HEADER, read_retry_after
from waywell.connection.wire_format import RawHeaders, WireFormat
from waywell.ids import ModelName
from waywell.request.decoded_request import (
    AnswerMetadata,
    DecodedRequest,
    DeliveryParameters,
)
from waywell.request.prompt_parts import decode_prompt_parts

if TYPE_CHECKING:
    from waywell.version.fleet import FleetBox

# Id of one attempt of a client; a retry by the client has another id.
ATTEMPT_HEADER = 'x-request-attempt-id'
DEADLINE_HEADER = 'x-deadline-ms'
RESUME_HEADER = 'last-event-id'
MODEL_HEADER = 'x-model'
# Two numbers: prompt tokens and maximum answer tokens.
TOKENS_HEADER = 'x-token-count'
HINT_HEADER = 'x-length-hint'
# Parts of the prompt in order, as ID:TOKENS separated by commas.
PROMPT_HEADER = 'x-prompt-prefix'
KEY_HEADER = 'authorization'
TENANT_HEADER = 'x-tenant'
PRIORITY_HEADER = 'x-request-priority'
# Names one incarnation of one server, not a replica of several boxes.
BOX_HEADER = 'x-expect-replica'
REJECTED_HEADER = 'x-not-executed'
# A leaving server sets this header in all its responses.
LEAVING_HEADER = 'server-leaving'
LEAVING_VALUE = '1'
VERSION_HEADER = 'x-expect-version'

MISDIRECTED_STATUS = 421
"""HTTP status of a server that is not the named one or not a group's head."""

KEY_SCHEME = 'bearer'
"""Authentication scheme of the header that holds the API key."""

_REPLACED_HEADERS = frozenset(
    (
        KEY_HEADER,
        TENANT_HEADER,
        PRIORITY_HEADER,
        BOX_HEADER,
        VERSION_HEADER,
        DEADLINE_HEADER,
        RESUME_HEADER,
    ),
)

_DROPPED_HEADERS = (
    HOP_BY_HOP_HEADERS | _REPLACED_HEADERS | {'expect', FORWARDED_HEADER}
)


class ServerWire(WireFormat):
    """Decodes and encodes the platform's headers."""

    def read_request(
        self,
        method: str,
        target: str,
        headers: RawHeaders,
        body: bytes,
    ) -> DecodedRequest:
        """Return the decoded request of a caller."""
        texts = MappingProxyType(
            {
                name.decode('latin-1').lower(): text.decode('latin-1')
                for name, text in headers
            },
        )
        prompt, answer = _parse_token_counts(texts.get(TOKENS_HEADER, ''))
        milliseconds = _parse_number(texts, DEADLINE_HEADER)
        return DecodedRequest(
            attempt_id=texts.get(ATTEMPT_HEADER, ''),
            method=method,
            target=target,
            host=texts.get('host', ''),
            headers=_select_forwarded_headers(headers),
            body=body,
            api_key=_parse_api_key(texts.get(KEY_HEADER, '')),
            timeout_seconds=None
            if milliseconds is None
            else milliseconds / 1000,
            resume_after=_parse_number(texts, RESUME_HEADER),
            model=ModelName(texts.get(MODEL_HEADER, '')),
            prompt_tokens=prompt,
            answer_tokens=answer,
            expected_answer_tokens=_parse_number(texts, HINT_HEADER) or 0,
            prompt_parts=decode_prompt_parts(texts.get(PROMPT_HEADER, '')),
            forwarded=parse_forwarding_header(texts.get(FORWARDED_HEADER, '')),
        )

    def make_headers(
        self,
        request: DecodedRequest,
        delivery: DeliveryParameters,
        box: FleetBox,
    ) -> RawHeaders:
        """Return the headers of a request to a server."""
        added = {
            DEADLINE_HEADER: _encode_timeout(delivery.seconds),
            BOX_HEADER: box.box,
        }
        if delivery.account is not None:
            added[TENANT_HEADER] = delivery.account
        if delivery.priority is not None:
            added[PRIORITY_HEADER] = str(delivery.priority)
        if delivery.resume_after is not None:
            added[RESUME_HEADER] = str(delivery.resume_after)
        return _add_headers(request.headers, added)

    def make_forward_headers(
        self,
        request: DecodedRequest,
        mark: ForwardingHeader,
        seconds: float,
        resume_after: int | None,
    ) -> RawHeaders:
        """Return the headers of a request to another entry box."""
        added = {
            DEADLINE_HEADER: _encode_timeout(seconds),
            FORWARDED_HEADER: mark.encode(),
        }
        if request.api_key:
            added[KEY_HEADER] = f'{KEY_SCHEME} {request.api_key}'
        if resume_after is not None:
            added[RESUME_HEADER] = str(resume_after)
        return _add_headers(request.headers, added)

    def read_metadata(
        self, status: int, headers: RawHeaders
    ) -> AnswerMetadata:
        """Return the metadata in the headers of a server's response."""
        texts = {
            name.decode('latin-1').lower(): text.decode('latin-1')
            for name, text in headers
        }
        misdirected = status == MISDIRECTED_STATUS
        return AnswerMetadata(
            attempt_id=texts.get(ATTEMPT_HEADER, ''),
            is_rejected=REJECTED_HEADER in texts,
            is_misdirected=misdirected,
            rest_seconds=read_retry_after(
                status, texts.get(RETRY_AFTER_HEADER, '')
            ),
            is_leaving=texts.get(LEAVING_HEADER, '').strip() == LEAVING_VALUE,
            rate_limit=None
            if misdirected
            else read_limit(texts.get(LIMIT_HEADER)),
        )


def _add_headers(headers: RawHeaders, added: dict[str, str]) -> RawHeaders:
    return (
        *headers,
        *(
            (name.encode(), text.encode('latin-1'))
            for name, text in added.items()
        ),
    )


def _encode_timeout(seconds: float) -> str:
    """Return a timeout in whole milliseconds, at least one."""
    return str(max(1, int(seconds * 1000)))


def _select_forwarded_headers(headers: RawHeaders) -> RawHeaders:
    """Return the end-to-end headers, without those that are set here.

    Headers named by ``Connection`` apply to the caller's connection only.
    """
    named = {
        word.strip().lower()
        for name, text in headers
        if name.lower() == b'connection'
        for word in text.decode('latin-1').split(',')
    }
    dropped = _DROPPED_HEADERS | named
    return tuple(
        (name, text)
        for name, text in headers
        if name.decode('latin-1').lower() not in dropped
    )


def _parse_api_key(text: str) -> str:
    scheme, _, key = text.partition(' ')
    return key.strip() if scheme.lower() == KEY_SCHEME else ''


def _parse_number(texts: MappingProxyType[str, str], name: str) -> int | None:
    text = texts.get(name, '').strip()
    if not text:
        return None
    if not text.isdecimal():
        raise Refusal(Code.BAD_HEADER, detail=f'{name}: a whole number')
    return int(text)


def _parse_token_counts(text: str) -> tuple[int, int]:
    """Return the prompt tokens and the maximum answer tokens."""
    if not text:
        return 0, 0
    prompt, _, answer = text.partition(',')
    try:
        return int(prompt), int(answer or 0)
    except ValueError as error:
        raise Refusal(
            Code.BAD_HEADER, detail=f'{TOKENS_HEADER}: two whole numbers'
        ) from error
