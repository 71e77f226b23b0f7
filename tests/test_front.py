"""A front daemon as a separate process, with stand-ins for store and servers."""

from __future__ import annotations

import http.client
import json
import signal
import threading
from collections import deque
from contextlib import suppress
from typing import TYPE_CHECKING

import pytest
from prometheus_client.parser import text_string_to_metric_families

from tests.fake_platform import HOST, KEY, make_manifest
from tests.front_harness import WHOLE_STREAM, FrontHarness
from waywell.cli import EXIT_REFUSED, run_command
from waywell.codes import Code
from waywell.standins.harness import wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from waywell.standins.harness import Process


@pytest.fixture
def front(tmp_path: Path) -> Iterator[FrontHarness]:
    front_harness = FrontHarness(tmp_path)
    yield front_harness
    front_harness.close()


@pytest.fixture
def served(front: FrontHarness) -> tuple[FrontHarness, Process]:
    front.add_servers()
    process = front.start()
    front.wait_serving(process)
    return front, process


def test_a_node_without_routes_is_not_ready_and_refuses_as_not_run(
    front: FrontHarness,
) -> None:
    process = front.start()
    assert not front.is_ready(process)
    status, _body, answer = front.send_request(process, '/stock/1')
    assert status == 503
    assert answer.getheader('waywell-ran') == 'not_run'
    assert float(answer.getheader('retry-after')) > 0


def test_streams_and_plain_requests_are_served(
    served: tuple[FrontHarness, Process],
) -> None:
    front, process = served
    status, body, answer = front.send_request(
        process, '/notes/1', model='small'
    )
    assert (status, body) == (200, WHOLE_STREAM)
    assert answer.getheader('X-Replica-Stamp').startswith('stamp-of-m')
    status, body, answer = front.send_request(process, '/stock/1?x=2')
    assert (status, body) == (200, b'the whole answer')
    (run,) = front.list_runs('a1', 'a2')
    assert run['X-Tenant'] == 'shop'
    assert run['X-Expect-Replica'] in {'a1', 'a2'}
    assert 'Authorization' not in run
    assert int(run['X-Deadline-Ms']) <= 8000
    status, raw = front.get(
        process, 'directory_port', '/api/resolve?name=x&zone=hall-a'
    )
    assert status == 200
    found = json.loads(raw)['addresses']
    assert found == [f'127.0.0.1:{process.ports["caller_port"]}']


def test_unknown_keys_and_routes_are_refused_and_never_sent(
    served: tuple[FrontHarness, Process],
) -> None:
    front, process = served
    assert front.send_request(process, '/stock/1', key='wrong')[0] == 401
    assert front.send_request(process, '/nowhere/1')[0] == 404
    assert not front.list_runs('a1', 'a2')


def test_a_non_repeatable_request_is_resent_only_after_a_rejection(
    served: tuple[FrontHarness, Process],
) -> None:
    front, process = served
    for name in ('a1', 'a2'):
        front.servers[name].script.extend(['reset'])
    status, _body, answer = front.send_request(process, '/match/1')
    assert status == 502
    assert answer.getheader('waywell-ran') == 'may_have_run'
    assert len(front.list_runs('a1', 'a2')) == 1
    for name in ('a1', 'a2'):
        front.servers[name].script.clear()
        front.servers[name].runs.clear()
    front.servers['a1'].script.append('reject')
    front.servers['a2'].script.append('reject')
    statuses = [
        front.send_request(process, '/match/2')[0] for _time in range(2)
    ]
    assert 200 in statuses
    assert len(front.list_runs('a1', 'a2')) == statuses.count(200)


def test_a_request_that_may_have_run_is_not_reported_as_not_run(
    served: tuple[FrontHarness, Process],
) -> None:
    """One replica resets the connection, and the other rejects the resend."""
    front, process = served
    shared = deque(['reset', 'reject'])
    for name in ('a1', 'a2'):
        front.servers[name].script = shared
    status, _body, answer = front.send_request(process, '/stock/1')
    assert not shared
    assert answer.getheader('waywell-ran') == 'may_have_run'
    # Status 503 would state that the request has not run.
    assert status == 502


def test_a_request_rejected_by_all_replicas_is_reported_as_not_run(
    served: tuple[FrontHarness, Process],
) -> None:
    front, process = served
    for name in ('a1', 'a2'):
        front.servers[name].script.extend(['reject'] * 2)
    status, _body, answer = front.send_request(process, '/match/1')
    assert status == 503
    assert answer.getheader('waywell-ran') == 'not_run'
    assert answer.getheader('X-Replica-Stamp') is None
    assert not front.list_runs('a1', 'a2')


def test_an_answer_to_another_request_is_not_forwarded(
    served: tuple[FrontHarness, Process],
) -> None:
    front, process = served
    for name in ('a1', 'a2'):
        front.servers[name].script.append('foreign')
    assert front.send_request(process, '/match/1')[0] == 502


def test_a_repeatable_request_is_resent_to_another_replica(
    served: tuple[FrontHarness, Process],
) -> None:
    front, process = served
    for act in ('reset', 'fail'):
        for name in ('a1', 'a2'):
            front.servers[name].script.clear()
        front.servers['a1'].script.append(act)
        front.servers['a2'].script.append('')
        for _request in range(2):
            assert front.send_request(process, '/stock/1')[0] == 200


@pytest.mark.parametrize('act', ['cut-3', 'wait-3', 'cut-1'])
def test_a_broken_or_stalled_stream_continues_at_another_group(
    served: tuple[FrontHarness, Process],
    act: str,
) -> None:
    front, process = served
    # The head that gets the first attempt fails; the other one doesn't.
    shared = deque([act])
    heads = front.list_heads()
    for server in heads:
        server.unblocked.clear()
        server.script = shared
        server.runs.clear()
    status, body, _answer = front.send_request(
        process, '/notes/1', model='small'
    )
    assert (status, body) == (200, WHOLE_STREAM)
    assert sorted(len(server.runs) for server in heads) == [1, 1]


def test_keys_are_refused_when_the_store_is_unreachable_for_too_long(
    front: FrontHarness,
) -> None:
    front.add_servers()
    process = front.start(keys_refused_within_ms=2500)
    front.wait_serving(process)
    front.store.is_down = True

    def is_refused() -> bool:
        status, _body, answer = front.send_request(process, '/stock/1')
        return status == 503 and answer.getheader('waywell-code') == '2008'

    wait_until(is_refused, 'refusals')
    assert not front.is_ready(process)
    front.store.is_down = False
    wait_until(lambda: front.is_ready(process), 'readiness')
    assert front.send_request(process, '/stock/1')[0] == 200


def test_a_new_version_takes_effect_and_a_removed_key_is_refused(
    served: tuple[FrontHarness, Process],
) -> None:
    front, process = served
    tenants = [{'name': 'shop', 'api_keys': ['another']}]
    front.store.put('config', 'main', make_manifest(2, tenants=tenants))
    wait_until(
        lambda: (
            front.send_request(process, '/stock/1', key='another')[0] == 200
        ),
        'the new key',
    )
    assert front.send_request(process, '/stock/1')[0] == 401


def test_an_unreadable_version_leaves_the_former_one_in_force(
    served: tuple[FrontHarness, Process],
) -> None:
    front, process = served
    front.store.put('config', 'main', {'version': 'x', 'routes': 3})
    log = front.folder / 'front-1.log'
    wait_until(lambda: 'object_unreadable' in log.read_text(), 'a log line')
    assert front.send_request(process, '/stock/1')[0] in {200, 503}


def test_a_graceful_stop_finishes_requests_in_flight(
    served: tuple[FrontHarness, Process],
) -> None:
    front, process = served
    for name in ('a1', 'a2'):
        front.servers[name].unblocked.clear()
    answers: list[tuple[int, str | None]] = []

    def ask() -> None:
        status, _body, answer = front.send_request(process, '/match/1')
        answers.append((status, answer.getheader('connection')))

    thread = threading.Thread(target=ask)
    thread.start()
    wait_until(lambda: front.list_runs('a1', 'a2'), 'the run')
    process.send_signal(signal.SIGTERM)
    wait_until(lambda: not front.is_ready(process), 'the node to leave')
    for name in ('a1', 'a2'):
        front.servers[name].unblocked.set()
    thread.join()
    assert answers == [(200, 'close')]
    assert process.wait() == 0


def test_a_repeated_sigterm_cuts_no_requests_in_flight(
    served: tuple[FrontHarness, Process],
) -> None:
    front, process = served
    for name in ('a1', 'a2'):
        front.servers[name].unblocked.clear()
    answers: list[tuple[int, str | None]] = []

    def ask() -> None:
        with suppress(OSError, http.client.HTTPException):
            status, _body, answer = front.send_request(process, '/match/1')
            answers.append((status, answer.getheader('connection')))

    thread = threading.Thread(target=ask)
    thread.start()
    wait_until(lambda: front.list_runs('a1', 'a2'), 'the run')
    process.send_signal(signal.SIGTERM)
    wait_until(lambda: not front.is_ready(process), 'the node to leave')
    process.send_signal(signal.SIGTERM)
    repeated = 'event=stop_signal_repeated signal=SIGTERM ends_now=False'
    wait_until(
        lambda: (
            not process.is_running() or repeated in process.log.read_text()
        ),
        'the second signal to be handled',
    )
    for name in ('a1', 'a2'):
        front.servers[name].unblocked.set()
    thread.join()
    assert answers == [(200, 'close')]
    assert process.wait() == 0
    assert 'event=stopped' in process.log.read_text()


@pytest.mark.parametrize('first', [signal.SIGTERM, signal.SIGINT])
def test_sigint_ends_a_stop_under_way(
    served: tuple[FrontHarness, Process], first: signal.Signals
) -> None:
    """A person at a terminal need not wait for the requests in flight."""
    front, process = served
    for name in ('a1', 'a2'):
        front.servers[name].unblocked.clear()
    answers: list[int] = []

    def ask() -> None:
        with suppress(OSError, http.client.HTTPException):
            answers.append(front.send_request(process, '/match/1')[0])

    thread = threading.Thread(target=ask)
    thread.start()
    wait_until(lambda: front.list_runs('a1', 'a2'), 'the run')
    process.send_signal(first)
    wait_until(lambda: not front.is_ready(process), 'the node to leave')
    process.send_signal(signal.SIGINT)
    assert process.wait() == 0
    thread.join()
    assert not answers
    assert 'event=stopped' not in process.log.read_text()


def test_a_stopping_node_refuses_requests_that_it_can_not_finish(
    served: tuple[FrontHarness, Process],
) -> None:
    """A stopping node refuses requests that its end would cut as not run.

    If a stopping node accepted every request for as long as callers may use
    an earlier entry list, long streams would be cut when the process ends:
    streams accepted 5.2 s after the signal to stop were cut 2.2 s later.
    """
    front, process = served
    for server in front.servers.values():
        server.script.append('wait-3')
        server.unblocked.clear()
    process.send_signal(signal.SIGTERM)
    wait_until(lambda: not front.is_ready(process), 'the node to leave')
    status, _body, answer = front.send_request(
        process, '/notes/1', model='small'
    )
    assert status == 503
    assert answer.getheader('waywell-code') == str(int(Code.NODE_LEAVING))
    assert answer.getheader('waywell-ran') == 'not_run'
    assert answer.getheader('connection') == 'close'
    assert float(answer.getheader('retry-after')) == 0
    assert not front.list_runs('m1', 'm2', 'm3', 'm4')


def test_a_stopping_node_refuses_streams_of_which_it_saw_only_short_ones(
    front: FrontHarness,
) -> None:
    """A short answer is no evidence that a longer one ends before the node.

    A stream of the same most tokens as short earlier ones was accepted 4.6 s
    after the signal to stop and cut 2.8 s later.
    """
    front.add_servers()
    process = front.start(entry_list_kept=2.0)
    front.wait_serving(process)
    tokens = {'X_Token_Count': '1420,435'}
    status, body, _answer = front.send_request(
        process, '/notes/1', 'small', **tokens
    )
    assert (status, body) == (200, WHOLE_STREAM)
    process.send_signal(signal.SIGTERM)
    wait_until(lambda: not front.is_ready(process), 'the node to leave')
    status, _body, answer = front.send_request(
        process, '/notes/2', 'small', **tokens
    )
    assert status == 503
    assert answer.getheader('waywell-code') == str(int(Code.NODE_LEAVING))
    assert answer.getheader('waywell-ran') == 'not_run'
    assert len(front.list_runs('m1', 'm2', 'm3', 'm4')) == 1


def test_a_stopping_node_serves_what_ends_in_time(
    front: FrontHarness,
) -> None:
    """Callers with an earlier entry list are served while the node leaves."""
    front.add_servers()
    process = front.start(entry_list_kept=2.0)
    front.wait_serving(process)
    process.send_signal(signal.SIGTERM)
    wait_until(lambda: not front.is_ready(process), 'the node to leave')
    brief = {'X_Deadline_Ms': '1000'}
    for path, model in (('/notes/1', 'small'), ('/stock/1', '')):
        status, _body, _answer = front.send_request(
            process, path, model, **brief
        )
        assert status == 200


def test_a_sighup_does_not_interrupt_service(
    served: tuple[FrontHarness, Process],
) -> None:
    front, process = served
    process.send_signal(signal.SIGHUP)
    log = front.folder / 'front-1.log'
    wait_until(lambda: 'event=reloaded' in log.read_text(), 'a log line')
    assert front.send_request(process, '/stock/1')[0] == 200


def test_a_box_lost_without_notice_is_detected_and_its_group_left(
    served: tuple[FrontHarness, Process],
) -> None:
    front, process = served
    head = front.list_heads()[0]
    group = head.entry['group']['name']
    members = [
        server
        for server in front.servers.values()
        if (server.entry.get('group') or {}).get('name') == group
    ]
    (member,) = [server for server in members if server is not head]
    for server in front.list_heads():
        server.unblocked.clear()
        server.script.append('wait-2')
    member.close()
    # Its entry stays in the store; only stalled streams show the loss.
    threading.Thread(
        target=front.send_request,
        args=(process, '/notes/1', 'small'),
        daemon=True,
    ).start()
    threading.Thread(
        target=front.send_request,
        args=(process, '/notes/2', 'small'),
        daemon=True,
    ).start()
    wait_until(
        lambda: any(order['operation'] == 'leave' for order in head.orders),
        'the order to the head to leave',
    )


def test_a_duty_holder_with_outdated_orders_starts_a_later_term(
    front: FrontHarness,
) -> None:
    front.add_servers()
    for server in front.store.servers.values():
        server.fence = 2
    process = front.start()
    front.wait_serving(process)
    given = [
        [order['fence_token'] for order in front.servers[name].orders]
        for name in ('m1', 'm2', 'm3', 'm4')
    ]
    # One refusal ends the term, so some boxes get no order of that term.
    assert min(tokens[0] for tokens in given) == 1
    assert all(tokens[-1] == 2 for tokens in given)
    assert all(tokens == sorted(tokens) for tokens in given)
    assert not front.store.violations


def test_an_attempt_id_appears_in_all_its_log_lines(
    served: tuple[FrontHarness, Process],
) -> None:
    front, process = served
    for name in ('a1', 'a2'):
        front.servers[name].script.append('reset')
    front.send_request(process, '/match/1', X_Request_Attempt_Id='look-for-me')
    log = (front.folder / 'front-1.log').read_text()
    lines = [line for line in log.splitlines() if 'look-for-me' in line]
    events = [line.partition('event=')[2].split()[0] for line in lines]
    assert events == [
        'attempt',
        'resend_decided',
        'failed',
        'given_up',
        'refused',
    ]
    assert all('age=' in line for line in lines[:4])
    status, raw = front.get(process, 'metrics_port', '/metrics')
    assert status == 200
    assert b'waywell_requests' in raw


def test_operators_see_the_state_of_a_node_but_no_keys(
    served: tuple[FrontHarness, Process],
) -> None:
    front, process = served
    shown = {}
    for what in ('status', 'configuration', 'groups', 'boxes', 'dump'):
        status, raw = front.get(process, 'metrics_port', f'/v1/{what}')
        assert status == 200
        assert KEY.encode() not in raw
        shown[what] = json.loads(raw)
    assert shown['status']['ready'] is True
    assert shown['status']['boxes'] == len(shown['boxes']) == 6
    assert shown['configuration']['accounts'] == ['shop']
    assert len(shown['groups']) == 2
    members = [group['members'] for group in shown['groups']]
    assert {len(boxes) for boxes in members} == {2}


def test_the_command_line_explains_routes_of_a_front_daemon(
    served: tuple[FrontHarness, Process],
    capsys: pytest.CaptureFixture[str],
) -> None:
    _front, process = served
    port = process.ports['metrics_port']
    admin = f'--admin=http://127.0.0.1:{port}'
    words = ['route', f'--host={HOST}', '--model=small', admin]
    assert run_command([*words, '--path=/notes/1']) == 0
    shown = json.loads(capsys.readouterr().out)
    assert shown['route']['name'] == 'notes'
    assert len(shown['services'][0]['replicas']) == 2
    assert run_command([*words, '--path=/else/']) == 0
    assert json.loads(capsys.readouterr().out)['route'] is None
    assert run_command(['status', admin]) == 0
    assert json.loads(capsys.readouterr().out)['ready'] is True
    order = ['relabel', '--select=a:b', '--labels=a:c', admin]
    assert run_command(order) == EXIT_REFUSED


def test_latencies_and_node_state_are_exported_as_metrics(
    served: tuple[FrontHarness, Process],
) -> None:
    front, process = served
    for path, model in (('/notes/1', 'small'), ('/stock/1', '')):
        assert front.send_request(process, path, model=model)[0] == 200
    expected = {
        ('waywell_first_piece_seconds_count', 'service=llm'): 1,
        ('waywell_answer_seconds_count', 'service=app'): 1,
        ('waywell_attempts_total', 'event=answered', 'service=llm'): 1,
        ('waywell_serving_replicas', 'model=llm/small'): 2,
        ('waywell_duties', 'duty=forming'): 1,
        ('waywell_nodes', 'state=live'): 1,
    }

    def read_shown() -> dict[tuple[str, ...], float | None]:
        _status, raw = front.get(process, 'metrics_port', '/metrics')
        shown = {
            (sample.name, *_list_labels(sample.labels)): sample.value
            for family in text_string_to_metric_families(raw.decode())
            for sample in family.samples
        }
        return {name: shown.get(name) for name in expected}

    # A process that stalls under load loses its duty for a moment.
    wait_until(lambda: read_shown() == expected, f'{expected}')


def _list_labels(labels: dict[str, str]) -> list[str]:
    return sorted(
        f'{name}={text}'
        for name, text in labels.items()
        if not name.startswith('otel_')
    )


def test_a_stopped_node_removes_its_presence_from_the_platform(
    served: tuple[FrontHarness, Process],
) -> None:
    front, process = served
    kind = 'waywell-entries'
    wait_until(lambda: front.store.list_names(kind), 'the presence object')
    process.send_signal(signal.SIGTERM)
    wait_until(lambda: not process.is_running(), 'the end of the process')
    assert front.store.list_names(kind) == set()
