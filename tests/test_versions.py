"""Configurations come into force on all nodes and are never rolled back."""

from __future__ import annotations

import signal
import threading
from typing import TYPE_CHECKING

from tests.checker import find_rollbacks
from tests.conftest import SHORT_TIMING
from waywell.standins.harness import (
    make_configuration,
    wait_until,
)

if TYPE_CHECKING:
    from waywell.standins.harness import Bench


def read_number(bench: Bench, entry: str) -> int:
    answer = bench.get_admin(entry).call('GET', '/v1/configuration')
    return int(answer.read_json()['number'])


def wait_number(bench: Bench, entry: str, number: int) -> None:
    wait_until(
        lambda: read_number(bench, entry) >= number,
        f'version {number} at {entry}',
    )


def apply_versions(bench: Bench, entry: str, count: int) -> int:
    """Apply several versions; return the number of the last one."""
    number = 0
    for index in range(count):
        answer = bench.apply(entry, make_configuration(groups=1 + index % 2))
        assert answer.status == 200
        number = answer.read_json()['number']
    return int(number)


def test_an_accepted_configuration_comes_into_force_on_all_nodes(
    pair: Bench,
) -> None:
    number = apply_versions(pair, 'entry-2', 5)
    for entry in ('entry-1', 'entry-2'):
        wait_number(pair, entry, number)
    status = pair.read_status('entry-1')['entry_boxes']

    def is_shown() -> bool:
        status = pair.read_status('entry-1')['entry_boxes']
        return {box['configuration'] for box in status} == {number}

    assert len(status) == 2
    wait_until(is_shown, 'the status to show the version in force')


def test_a_repeated_operation_is_applied_once(pair: Bench) -> None:
    admin = pair.get_admin('entry-1')
    path = '/v1/configuration?operation=once'
    pair.set_platform_faults(lose_answers=1)
    first = admin.call('PUT', path, make_configuration())
    apply_versions(pair, 'entry-2', 1)
    again = pair.get_admin('entry-2').call('PUT', path, make_configuration())
    assert first.status == again.status == 200
    assert again.read_json()['repeated']
    assert read_number(pair, 'entry-2') == first.read_json()['number'] + 1


def test_a_write_to_an_outdated_version_is_refused(pair: Bench) -> None:
    number = apply_versions(pair, 'entry-1', 2)
    path = f'/v1/configuration?expected={number - 1}'
    answer = pair.get_admin('entry-2').call('PUT', path, make_configuration())
    assert answer.status == 409
    assert answer.read_json()['code'] == 4002


def test_a_platform_outage_does_not_stop_serving_or_a_new_node(
    pair: Bench,
) -> None:
    number = apply_versions(pair, 'entry-1', 2)
    wait_number(pair, 'entry-2', number)
    pair.set_platform_faults(outage=True)
    refused = pair.apply('entry-1', make_configuration())
    assert refused.status in {503, 504}
    # A node that starts now gets the configuration from the others.
    seed = f'127.0.0.1:{pair.entries["entry-1"].ports["peer_port"]}'
    pair.start_entry(
        'entry-3', timing=SHORT_TIMING, top_level={'seeds': [seed]}
    )
    wait_number(pair, 'entry-3', number)
    for entry in ('entry-1', 'entry-2', 'entry-3'):
        wait_until(
            lambda entry=entry: (
                pair.get_caller(entry).call('/services/app/x').status == 200
            ),
            f'{entry} to serve',
        )
    # The nodes also serve when the outage exceeds the routing term.
    wait_until(
        lambda: all(
            pair.get_admin(entry)
            .call('GET', '/v1/dump')
            .read_json()['platform_age']
            > SHORT_TIMING['route_term'] * 1.2
            for entry in ('entry-1', 'entry-2', 'entry-3')
        ),
        'a long outage',
    )
    for entry in ('entry-1', 'entry-2', 'entry-3'):
        answer = pair.get_caller(entry).call('/services/app/x')
        assert answer.status == 200
    pair.set_platform_faults(outage=False)
    wait_until(
        lambda: pair.apply('entry-3', make_configuration()).status == 200,
        'configurations to be accepted again',
    )


def run_with_rollback(bench: Bench) -> list[dict]:
    """Serve while the platform is restored to an older state."""
    low = apply_versions(bench, 'entry-1', 2)
    bench.set_platform_faults(save=True)
    high = apply_versions(bench, 'entry-1', 4)
    assert high > low
    for entry in bench.entries:
        wait_number(bench, entry, high)
    stopped = threading.Event()
    answered: list[dict] = []

    def send_requests(entry: str) -> None:
        caller = bench.get_caller(entry)
        while not stopped.is_set():
            answer = caller.call('/services/app/x')
            number = answer.headers['waywell-configuration']
            answered.append({'node': entry, 'configuration': int(number)})

    threads = [
        threading.Thread(target=send_requests, args=(entry,))
        for entry in bench.entries
    ]
    for thread in threads:
        thread.start()
    bench.set_platform_faults(go_back=True)
    wait_until(
        lambda: (
            _read_stored_number(bench) == high
            or read_number(bench, 'entry-1') < high
        ),
        'the restored state to be noticed',
    )
    count = len(answered)
    wait_until(lambda: len(answered) > count + 50, 'requests after the return')
    stopped.set()
    for thread in threads:
        thread.join()
    return answered


def _read_stored_number(bench: Bench) -> int:
    """Return the stored version number from the refusal of a write."""
    path = '/v1/configuration?expected=0'
    admin = bench.get_admin('entry-1')
    answer = admin.call('PUT', path, make_configuration())
    return int(answer.read_json()['detail'].rpartition(' ')[2] or 0)


def test_a_platform_restored_to_an_older_state_causes_no_rollback(
    pair: Bench,
) -> None:
    answered = run_with_rollback(pair)
    assert find_rollbacks(answered) == []
    highest = max(line['configuration'] for line in answered)
    wait_until(
        lambda: _read_stored_number(pair) == highest,
        'the highest version to be stored again',
    )
    answer = pair.apply('entry-2', make_configuration())
    assert answer.read_json()['number'] == highest + 1


def test_without_the_number_check_a_rollback_is_found(bench: Bench) -> None:
    """The rollback check fails on a node that adopts any version."""
    bench.start_entry('entry-1', timing=SHORT_TIMING, switch='adopt_anything')
    bench.apply('entry-1', make_configuration())
    assert find_rollbacks(run_with_rollback(bench)) != []


def test_a_frozen_node_catches_up_with_the_configuration(pair: Bench) -> None:
    first = apply_versions(pair, 'entry-1', 1)
    wait_number(pair, 'entry-2', first)
    process = pair.entries['entry-2']
    process.send_signal(signal.SIGSTOP)
    last = apply_versions(pair, 'entry-1', 12)
    process.send_signal(signal.SIGCONT)
    wait_number(pair, 'entry-2', last)


def test_a_configuration_that_is_too_large_is_refused(pair: Bench) -> None:
    number = read_number(pair, 'entry-1')
    accounts = [
        {'name': f'a{count}', 'labels': {'text': 'x' * 1000}}
        for count in range(1100)
    ]
    answer = pair.apply('entry-1', make_configuration(account=accounts))
    assert answer.status == 413
    assert answer.read_json()['code'] == 4003
    assert read_number(pair, 'entry-1') == number
