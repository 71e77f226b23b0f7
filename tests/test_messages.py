"""Messages of callers and servers on the platform."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.boxes import make_box
from waywell.codes import Code, Refusal
from waywell.ids import AccountName
from waywell.platform.messages import ServerWire
from waywell.request.ask import Ask, Delivery

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


def read(*extra: tuple[bytes, bytes]) -> Ask:
    return WIRE.read_request(
        'POST', '/notes/1?x=2', (*HEADERS, *extra), b'body'
    )


def write(ask: Ask, **changes: object) -> dict[bytes, bytes]:
    delivery = Delivery(
        **{'account': AccountName('shop'), 'seconds': 2.5, **changes},
    )
    headers = WIRE.make_headers(ask, delivery, make_box('i-1'))
    found = {name.lower(): text for name, text in headers}
    assert len(found) == len(headers)
    return found


def test_an_ask_says_what_the_headers_say() -> None:
    ask = read()
    assert ask.attempt == 'a1'
    assert ask.path == '/notes/1'
    assert ask.key == 'secret'
    assert ask.seconds == 8.0
    assert (ask.prompt_tokens, ask.answer_tokens) == (1460, 80)


def test_identity_is_set_here_and_never_taken_from_the_caller() -> None:
    sent = write(read())
    assert sent[b'x-tenant'] == b'shop'
    assert sent[b'x-expect-replica'] == b'i-1'
    assert b'authorization' not in sent
    assert b'x-request-priority' not in sent
    without = write(read(), account=None)
    assert b'x-tenant' not in without


def test_headers_of_one_connection_are_not_passed_on() -> None:
    sent = write(read())
    assert b'connection' not in sent
    assert b'x-private' not in sent
    assert sent[b'x-own'] == b'kept'
    assert sent[b'x-token-count'] == b'1460,80'
    assert sent[b'host'] == b'shop.example'


def test_the_deadline_is_what_is_left() -> None:
    assert write(read(), seconds=2.5)[b'x-deadline-ms'] == b'2500'
    assert write(read(), seconds=0.0)[b'x-deadline-ms'] == b'1'


def test_a_stream_goes_on_after_the_last_event() -> None:
    sent = write(read((b'Last-Event-Id', b'3')), resume_after=12)
    assert sent[b'last-event-id'] == b'12'
    assert read((b'Last-Event-Id', b'3')).resume_after == 3


@pytest.mark.parametrize(
    'header',
    [
        (b'X-Deadline-Ms', b'soon'),
        (b'X-Token-Count', b'many'),
        (b'Last-Event-Id', b'-1'),
    ],
)
def test_a_header_that_is_not_understood_is_refused_as_not_run(
    header: tuple[bytes, bytes],
) -> None:
    with pytest.raises(Refusal) as caught:
        read(header)
    assert caught.value.code is Code.BAD_HEADER
    assert caught.value.ran.value == 'not_run'


def test_marks_of_an_answer() -> None:
    ran = WIRE.read_mark(500, ((b'X-Request-Attempt-Id', b'a1'),))
    assert (ran.attempt, ran.is_rejected) == ('a1', False)
    assert WIRE.read_mark(503, ((b'X-Not-Executed', b'1'),)).is_rejected
    assert WIRE.read_mark(421, ()).is_misdirected


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
def test_the_rest_that_a_replica_asks_for(
    status: int,
    text: bytes,
    seconds: float,
) -> None:
    mark = WIRE.read_mark(status, ((b'Retry-After', text),))
    assert mark.rest_seconds == seconds


def test_a_replica_that_leaves_says_so() -> None:
    assert WIRE.read_mark(200, ((b'Server-Leaving', b'1'),)).is_leaving
    assert not WIRE.read_mark(200, ((b'Server-Leaving', b'0'),)).is_leaving
    assert not WIRE.read_mark(200, ()).is_leaving


@given(
    name=st.sampled_from(
        [b'X-Deadline-Ms', b'X-Token-Count', b'X-Length-Hint']
    ),
    text=st.binary(max_size=12),
)
def test_any_value_is_read_or_refused(name: bytes, text: bytes) -> None:
    try:
        ask = read((name, text))
    except Refusal as refusal:
        assert refusal.code is Code.BAD_HEADER
        return
    assert ask.attempt == 'a1'
