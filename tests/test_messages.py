"""Headers of the platform's callers and servers: reading and writing."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.boxes import make_box
from waywell.codes import Code, Refusal
from waywell.ids import AccountName
from waywell.platform.messages import ServerWire
from waywell.request.decoded_request import DecodedRequest, DeliveryParameters

WIRE = ServerWire()
HEADERS = (
    (b'Host', b'shop.example'),
    (b'X-Request-Attempt-Id', b'a1'),
    (b'X-Model', b'big'),
    (b'X-Token-Count', b'1460,80'),
    (b'X-Deadline-Ms', b'8000'),
    (b'Authorization', b'Bearer secret'),
    (b'X-Tenant', b'somebody-else'),
    (b'X-Request-Priority', b'0'),
    (b'X-Expect-Replica', b'i-wrong'),
    (b'Connection', b'keep-alive, X-Private'),
    (b'X-Private', b'hop'),
    (b'X-Own', b'kept'),
)


def read_ask(*extra: tuple[bytes, bytes]) -> DecodedRequest:
    return WIRE.read_request(
        'POST', '/notes/1?x=2', (*HEADERS, *extra), b'body'
    )


def make_headers(
    request: DecodedRequest, **changes: object
) -> dict[bytes, bytes]:
    delivery = DeliveryParameters(
        **{'account': AccountName('shop'), 'seconds': 2.5, **changes},
    )
    headers = WIRE.make_headers(request, delivery, make_box('i-1'))
    by_name = {name.lower(): text for name, text in headers}
    assert len(by_name) == len(headers)
    return by_name


def test_the_headers_of_a_request_are_read() -> None:
    request = read_ask()
    assert request.attempt_id == 'a1'
    assert request.path == '/notes/1'
    assert request.api_key == 'secret'
    assert request.timeout_seconds == 8.0
    assert (request.prompt_tokens, request.answer_tokens) == (1460, 80)


def test_identity_headers_of_the_caller_are_replaced() -> None:
    sent = make_headers(read_ask())
    assert sent[b'x-tenant'] == b'shop'
    assert sent[b'x-expect-replica'] == b'i-1'
    assert b'authorization' not in sent
    assert b'x-request-priority' not in sent
    anonymous = make_headers(read_ask(), account=None)
    assert b'x-tenant' not in anonymous


def test_hop_by_hop_headers_are_not_forwarded() -> None:
    sent = make_headers(read_ask())
    assert b'connection' not in sent
    assert b'x-private' not in sent
    assert sent[b'x-own'] == b'kept'
    assert sent[b'x-token-count'] == b'1460,80'
    assert sent[b'host'] == b'shop.example'


def test_the_deadline_sent_is_the_remaining_time() -> None:
    assert make_headers(read_ask(), seconds=2.5)[b'x-deadline-ms'] == b'2500'
    assert make_headers(read_ask(), seconds=0.0)[b'x-deadline-ms'] == b'1'


def test_a_stream_resumes_after_the_last_event() -> None:
    sent = make_headers(read_ask((b'Last-Event-Id', b'3')), resume_after=12)
    assert sent[b'last-event-id'] == b'12'
    assert read_ask((b'Last-Event-Id', b'3')).resume_after == 3


@pytest.mark.parametrize(
    'header',
    [
        (b'X-Deadline-Ms', b'soon'),
        (b'X-Token-Count', b'many'),
        (b'Last-Event-Id', b'-1'),
    ],
)
def test_a_malformed_header_is_refused_before_the_request_runs(
    header: tuple[bytes, bytes],
) -> None:
    with pytest.raises(Refusal) as caught:
        read_ask(header)
    assert caught.value.code is Code.BAD_HEADER
    assert caught.value.ran.value == 'not_run'


def test_the_metadata_in_the_headers_of_an_answer_is_read() -> None:
    ran = WIRE.read_metadata(500, ((b'X-Request-Attempt-Id', b'a1'),))
    assert (ran.attempt_id, ran.is_rejected) == ('a1', False)
    assert WIRE.read_metadata(503, ((b'X-Not-Executed', b'1'),)).is_rejected
    assert WIRE.read_metadata(421, ()).is_misdirected


@pytest.mark.parametrize(
    ('status', 'text', 'seconds'),
    [
        (503, b'3', 3.0),
        (503, b' 0.25 ', 0.25),
        (429, b'2', 2.0),
        (200, b'3', 0.0),
        (503, b'', 0.0),
        (503, b'-1', 0.0),
        (503, b'nan', 0.0),
        (503, b'inf', 0.0),
        (503, b'Fri, 20 Feb 2026 06:06:14 GMT', 0.0),
    ],
)
def test_the_retry_after_header_gives_the_pause_of_a_replica(
    status: int,
    text: bytes,
    seconds: float,
) -> None:
    metadata = WIRE.read_metadata(status, ((b'Retry-After', text),))
    assert metadata.rest_seconds == seconds


def test_the_header_of_a_leaving_replica_is_read() -> None:
    assert WIRE.read_metadata(200, ((b'Server-Leaving', b'1'),)).is_leaving
    assert not WIRE.read_metadata(200, ((b'Server-Leaving', b'0'),)).is_leaving
    assert not WIRE.read_metadata(200, ()).is_leaving


@given(
    name=st.sampled_from(
        [b'X-Deadline-Ms', b'X-Token-Count', b'X-Length-Hint']
    ),
    text=st.binary(max_size=12),
)
def test_any_header_value_is_accepted_or_refused(
    name: bytes, text: bytes
) -> None:
    try:
        request = read_ask((name, text))
    except Refusal as refusal:
        assert refusal.code is Code.BAD_HEADER
        return
    assert request.attempt_id == 'a1'
