"""Leaving targets get no new requests, and planned stops cut no answers."""

from __future__ import annotations

import signal
import socket
import threading
import time
from contextlib import suppress
from typing import TYPE_CHECKING

import pytest

from tests.checker import list_runs
from tests.conftest import SHORT_TIMING, start_pair
from waywell.client import Answer, UnreachableError
from waywell.standins.harness import (
    BoxSpec,
    make_configuration,
    wait_until,
)

if TYPE_CHECKING:
    from waywell.standins.harness import Bench

CHAT = '/services/llm/v1/chat/completions'


def stream(bench: Bench, entry: str, tokens: int, out: list[Answer]) -> None:
    caller = bench.get_caller(entry)
    headers = {
        'standin-tokens': str(tokens),
        'waywell-request-id': f'{entry}-{tokens}',
    }
    out.append(caller.call(CHAT, 'POST', b'{}', headers))


def test_stopping_entry_finishes_requests_in_flight(pair: Bench) -> None:
    answers: list[Answer] = []
    thread = threading.Thread(
        target=stream,
        args=(pair, 'entry-1', 400, answers),
    )
    thread.start()
    wait_until(lambda: list_runs(pair), 'the stream to begin')
    process = pair.entries['entry-1']
    process.send_signal(signal.SIGTERM)
    other = pair.get_caller('entry-2')

    def is_off_the_list() -> bool:
        other.refresh()
        return len(other.entries) == 1

    wait_until(is_off_the_list, 'the leaving box to be off the list')
    # A caller that still has the old entry list is served at first, as its
    # requests end in time, and is refused with the address of the other entry
    # box later.
    old = pair.get_caller('entry-1')
    refusals = []

    def is_refused() -> bool:
        answer = old.call(
            '/services/app/price', headers={'waywell-deadline': '5'}
        )
        if answer.status != 200:
            refusals.append(answer)
        return answer.status != 200

    wait_until(is_refused, 'new requests to be refused')
    assert refusals[0].headers['waywell-code'] == '2004'
    assert refusals[0].headers['waywell-ran'] == 'not_run'
    port = pair.entries['entry-2'].ports['caller_port']
    assert f'127.0.0.1:{port}' in refusals[0].read_json()['detail']
    thread.join()
    assert answers[0].body.count(b'"token"') == 400
    assert answers[0].body.endswith(b'data: [DONE]\n\n')
    assert process.wait() == 0


@pytest.mark.parametrize(
    ('repeatable', 'ran'), [('yes', 'not_run'), ('no', 'may_have_run')]
)
def test_stopping_entry_refuses_requests_that_may_outlast_the_drain(
    bench: Bench, repeatable: str, ran: str
) -> None:
    """A request that may be cut goes elsewhere while another is served.

    Another submission of an id that runs at most once may be running, so its
    refusal leaves that open.
    """
    start_pair(bench, entry_list=20.0, drain=20.0)
    process = bench.entries['entry-1']
    process.send_signal(signal.SIGTERM)
    wait_until(
        lambda: 'event=leaving' in process.log.read_text(),
        'the entry box to leave',
    )
    caller = bench.get_caller('entry-1')
    headers = {
        'waywell-request-id': 'late',
        'waywell-repeatable': repeatable,
        'waywell-deadline': '60',
    }
    refused = caller.call(CHAT, 'POST', b'{}', headers)
    headers |= {'waywell-request-id': 'early', 'waywell-deadline': '10'}
    served = caller.call(CHAT, 'POST', b'{}', headers)
    assert refused.status == 503
    assert refused.headers['waywell-code'] == '2004'
    assert refused.headers['waywell-ran'] == ran
    port = bench.entries['entry-2'].ports['caller_port']
    assert refused.read_json()['detail'] == f'127.0.0.1:{port}'
    assert served.status == 200
    assert [run['request'] for run in list_runs(bench)] == ['early']
    claims = bench.read_history('history-entry-1.jsonl')
    assert 'late' not in {line.get('request') for line in claims}
    log = process.log.read_text()
    assert 'event=leaving_admission request=late service=llm' in log
    assert 'event=leaving_admission request=early service=llm' in log


def test_a_repeated_sigterm_cuts_no_answers(pair: Bench) -> None:
    answers: list[Answer] = []

    def work() -> None:
        with suppress(UnreachableError):
            stream(pair, 'entry-1', 400, answers)

    thread = threading.Thread(target=work)
    thread.start()
    wait_until(lambda: list_runs(pair), 'the stream to begin')
    process = pair.entries['entry-1']
    process.send_signal(signal.SIGTERM)
    wait_until(
        lambda: 'event=leaving' in process.log.read_text(),
        'the entry box to leave',
    )
    process.send_signal(signal.SIGTERM)
    thread.join()
    assert [answer.body.count(b'"token"') for answer in answers] == [400]
    assert answers[0].body.endswith(b'data: [DONE]\n\n')
    assert process.wait() == 0
    assert (
        'event=stop_signal_repeated signal=SIGTERM ends_now=False'
        in process.log.read_text()
    )


def test_stopping_entry_delivers_the_answer_to_a_slow_reader(
    pair: Bench,
) -> None:
    """A stopping entry waits until written bytes have been read."""
    size = 20_000_000
    port = pair.entries['entry-1'].ports['caller_port']
    with socket.create_connection(('127.0.0.1', port)) as caller:
        request = (
            'GET /services/app/x HTTP/1.1\r\nhost: x\r\n'
            f'authorization: Bearer caller-key\r\nstandin-pad: {size}\r\n\r\n'
        )
        caller.sendall(request.encode())
        received = caller.recv(1000)
        process = pair.entries['entry-1']
        process.send_signal(signal.SIGTERM)
        time.sleep(SHORT_TIMING['entry_list'] * 3)
        while piece := caller.recv(65536):
            received += piece
    head, _, body = received.partition(b'\r\n\r\n')
    length = next(
        int(line.partition(b':')[2])
        for line in head.lower().split(b'\r\n')
        if line.startswith(b'content-length')
    )
    assert len(body) == length > size
    assert process.wait() == 0


def test_leaving_box_gets_no_new_requests_and_loses_none(bench: Bench) -> None:
    for number in range(4):
        bench.start_box(BoxSpec(f'box-{number}', labels={'pool': 'llm'}))
    bench.start_entry('entry-1', timing=SHORT_TIMING)
    bench.start_entry('entry-2', timing=SHORT_TIMING)
    bench.apply('entry-1', make_configuration(groups=2))
    for entry in ('entry-1', 'entry-2'):
        bench.wait_serving(entry, 'llm-main', 2)
    answers: list[Answer] = []
    threads = [
        threading.Thread(target=stream, args=(bench, entry, count, answers))
        for entry in ('entry-1', 'entry-2')
        for count in range(200, 206)
    ]
    for thread in threads:
        thread.start()
    wait_until(lambda: len(list_runs(bench)) == len(threads), 'the streams')
    groups = bench.read_status('entry-1')['groups']
    leaving = groups[0]
    bench.set_box_state(leaving['boxes'][1], 'leaving')
    for entry in ('entry-1', 'entry-2'):
        bench.wait_serving(entry, 'llm-main', 1)
    before = len(list_runs(bench))
    for entry in ('entry-1', 'entry-2'):
        for number in range(10):
            headers = {'waywell-request-id': f'new{number}'}
            caller = bench.get_caller(entry)
            assert (
                caller.call('/services/llm/x', headers=headers).status == 200
            )
    new = list_runs(bench)
    assert len(new) == before + 20
    ran_at = {run['box'] for run in new if run['request'].startswith('new')}
    assert not ran_at & set(leaving['boxes'])
    for thread in threads:
        thread.join()
    assert all(answer.body.endswith(b'[DONE]\n\n') for answer in answers)
    wait_until(
        lambda: (
            leaving['group']
            not in {
                group['group']
                for group in bench.read_status('entry-1')['groups']
            }
        ),
        'the drained group to be gone',
    )


@pytest.mark.parametrize(
    ('switch', 'status'),
    [('', 503), ('serve_leaving', 200)],
)
def test_leaving_group_refuses_new_requests(
    bench: Bench,
    switch: str,
    status: int,
) -> None:
    """A draining group refuses requests.

    The second case disables the rule and shows that the check can fail.
    """
    bench.start_entry('entry-1', timing=SHORT_TIMING, switch=switch)
    bench.start_box(BoxSpec('box-1', labels={'pool': 'llm'}))
    bench.apply('entry-1', make_configuration(boxes_per_group=1))
    bench.wait_serving('entry-1', 'llm-main', 1)
    answers: list[Answer] = []
    thread = threading.Thread(
        target=stream,
        args=(bench, 'entry-1', 500, answers),
    )
    thread.start()
    wait_until(lambda: list_runs(bench), 'the stream to begin')
    bench.set_box_state('box-1', 'leaving')
    wait_until(
        lambda: (
            bench.read_status('entry-1')['groups'][0]['state'] == 'leaving'
        ),
        'the group to leave',
    )
    answer = bench.get_caller('entry-1').call('/services/llm/x')
    assert answer.status == status
    thread.join()
    assert answers[0].body.count(b'"token"') == 500


def test_stream_past_the_drain_limit_is_cut_visibly(bench: Bench) -> None:
    """A stream that outlasts the drain is cut so that the caller notices."""
    bench.start_box(BoxSpec('box-1', labels={'pool': 'llm'}))
    bench.start_entry('entry-1', timing={**SHORT_TIMING, 'drain': 0.5})
    bench.apply('entry-1', make_configuration(boxes_per_group=1))
    bench.wait_serving('entry-1', 'llm-main', 1)
    outcomes: list[str] = []

    def work() -> None:
        try:
            stream(bench, 'entry-1', 100_000, [])
        except UnreachableError:
            outcomes.append('cut')
        else:
            outcomes.append('whole')

    thread = threading.Thread(target=work)
    thread.start()
    wait_until(lambda: list_runs(bench), 'the stream to begin')
    bench.entries['entry-1'].send_signal(signal.SIGTERM)
    thread.join()
    assert outcomes == ['cut']
