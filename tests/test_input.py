"""Invalid input is refused with a result code and does no damage."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import pytest

from tests.conftest import SHORT_TIMING, start_pair
from waywell.standins.harness import Bench

if TYPE_CHECKING:
    from collections.abc import Iterator

AUTH = 'authorization: Bearer caller-key'

PROBE_SECONDS = 20.0
"""Seconds in which a box answers a probe even if it stalls under load; with the
shorter probes of other tests, its group stops serving for a moment."""


@pytest.fixture(scope='module')
def shared() -> Iterator[Bench]:
    with Bench() as bench:
        start_pair(bench, probe=PROBE_SECONDS)
        bench.start_entry(
            'small',
            timing={**SHORT_TIMING, 'probe': PROBE_SECONDS},
            limits={'body_bytes': 1000},
        )
        bench.wait_serving('small', 'app-main', 1)
        yield bench


def send_raw(bench: Bench, raw: str, entry: str = 'entry-1') -> str:
    """Send bytes on a new connection and return what is received."""
    port = bench.entries[entry].ports['caller_port']
    with socket.create_connection(('127.0.0.1', port), timeout=10) as caller:
        caller.sendall(raw.encode('latin-1'))
        received = b''
        while piece := caller.recv(65536):
            received += piece
            if b'\r\n\r\n' in received and b'"retry_after"' in received:
                break
    return received.decode('latin-1')


@pytest.mark.parametrize(
    ('raw', 'code'),
    [
        ('NONSENSE\r\n\r\n', 1001),
        ('GET / HTTP/1.1\r\nno colon here\r\n\r\n', 1001),
        (
            'POST /services/app/x HTTP/1.1\r\nhost: x\r\n'
            'content-length: 3\r\ntransfer-encoding: chunked\r\n\r\nabc',
            1001,
        ),
        (
            'POST /services/app/x HTTP/1.1\r\nhost: x\r\n'
            'content-length: 3\r\ncontent-length: 4\r\n\r\nabcd',
            1001,
        ),
        (f'GET / HTTP/1.1\r\nhost: x\r\nbig: {"x" * 40000}\r\n\r\n', 1001),
        (f'GET /services/app/x HTTP/1.0\r\n{AUTH}\r\n\r\n', 1002),
        (f'GET /nothing HTTP/1.1\r\nhost: x\r\n{AUTH}\r\n\r\n', 1005),
        (f'GET /services/no/x HTTP/1.1\r\nhost: x\r\n{AUTH}\r\n\r\n', 1005),
        ('GET /services/app/x HTTP/1.1\r\nhost: x\r\n\r\n', 1006),
        (
            'GET /services/app/x HTTP/1.1\r\nhost: x\r\n'
            'authorization: Bearer nobody\r\n\r\n',
            1006,
        ),
    ],
)
def test_invalid_http_is_refused_as_not_run(
    shared: Bench, raw: str, code: int
) -> None:
    answer = send_raw(shared, raw)
    assert f'"code":{code},' in answer
    assert '"ran":"not_run"' in answer
    # The node still serves other requests.
    assert shared.get_caller('entry-1').call('/services/app/x').status == 200


@pytest.mark.parametrize(
    ('header', 'text', 'code'),
    [
        ('waywell-deadline', 'soon', 1007),
        ('waywell-deadline', '-1', 1007),
        ('waywell-deadline', 'nan', 1007),
        ('waywell-deadline', 'inf', 1007),
        ('waywell-repeatable', 'maybe', 1008),
        ('waywell-kind', 'a b', 1008),
        ('waywell-session', 'x' * 200, 1008),
        ('waywell-session-labels', 'a&b', 1008),
        ('waywell-request-id', 'ü', 1008),
    ],
)
def test_invalid_header_is_refused_and_named(
    shared: Bench, header: str, text: str, code: int
) -> None:
    caller = shared.get_caller('entry-1')
    answer = caller.call('/services/app/x', headers={header: text})
    assert answer.headers['waywell-code'] == str(code)
    assert header in answer.read_json()['detail']


@pytest.mark.parametrize('chunked', [False, True])
def test_body_over_the_limit_is_refused(shared: Bench, chunked: bool) -> None:
    body = 'x' * 5000
    length = f'content-length: {len(body)}'
    if chunked:
        length = 'transfer-encoding: chunked'
        body = f'{len(body):x}\r\n{body}\r\n0\r\n\r\n'
    raw = (
        f'POST /services/app/x HTTP/1.1\r\nhost: x\r\n{AUTH}\r\n'
        f'{length}\r\n\r\n{body}'
    )
    answer = send_raw(shared, raw, 'small')
    assert '"code":1004,' in answer
    assert shared.get_caller('small').call('/services/app/x').status == 200


def test_pipelined_requests_are_answered_in_order(shared: Bench) -> None:
    raw = ''.join(
        f'GET /services/app/p{number} HTTP/1.1\r\nhost: x\r\n{AUTH}\r\n'
        f'{"connection: close" if number == 4 else "x: y"}\r\n\r\n'
        for number in range(5)
    )
    answer = send_raw(shared, raw)
    positions = [answer.index(f'"path":"/p{number}"') for number in range(5)]
    assert positions == sorted(positions)


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'status'),
    [
        ('GET', '/v1/nothing', None, 404),
        ('PUT', '/v1/configuration?expected=x', {}, 422),
        ('PUT', '/v1/configuration', {'service': [{'nam': 'x'}]}, 422),
        ('POST', '/v1/explain', {'service': 'llm'}, 422),
        ('GET', '/v1/boxes?label=nope', None, 422),
    ],
)
def test_invalid_admin_input_is_refused_as_not_run(
    shared: Bench,
    method: str,
    path: str,
    body: object,
    status: int,
) -> None:
    answer = shared.get_admin('entry-1').call(method, path, body)
    assert answer.status == status
    assert answer.read_json()['ran'] == 'not_run'


def test_admin_requires_an_operator_key(shared: Bench) -> None:
    admin = shared.get_admin('entry-1')
    admin._key = 'caller-key'
    answer = admin.call('GET', '/v1/status')
    assert answer.status == 403
    assert answer.read_json()['code'] == 4006


def test_explain_and_label_filters_return_what_matches(shared: Bench) -> None:
    admin = shared.get_admin('entry-1')
    question = {'service': 'llm', 'account': 'desk'}
    explained = admin.call('POST', '/v1/explain', question).read_json()
    assert explained['rules'] == ['all']
    assert explained['groups'][0]['serves']
    nobody = {'service': 'llm', 'account': 'nobody'}
    assert (
        admin.call('POST', '/v1/explain', nobody).read_json()['groups'] == []
    )
    boxes = admin.call('GET', '/v1/boxes?label=pool:app').read_json()
    assert [box['box'] for box in boxes] == ['app-1']
    entries = admin.call('GET', '/v1/configuration?label=tier:gold')
    assert set(entries.read_json()['entries']) == {'account/desk'}


def test_metrics_count_requests_and_contain_no_keys(shared: Bench) -> None:
    caller = shared.get_caller('entry-1')
    caller.call('/services/app/x')
    metrics = shared.get_admin('entry-1').call('GET', '/metrics').body.decode()
    assert 'waywell_requests_total{code="0",' in metrics
    assert 'waywell_groups_serving{group_set="llm-main",' in metrics
    assert 'waywell_downtime_seconds{group_set="llm-main",' in metrics
    assert 'caller-key' not in metrics
