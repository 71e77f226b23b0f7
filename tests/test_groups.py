"""A group serves only with all its boxes, and no box is in two groups."""

from __future__ import annotations

import signal
import threading
from typing import TYPE_CHECKING, Any

from tests.checker import find_shared_boxes, list_runs
from tests.conftest import SHORT_TIMING
from waywell.client import Answer
from waywell.standins.harness import (
    BoxSpec,
    make_configuration,
    wait_until,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from waywell.standins.harness import Bench

CHAT = '/services/llm/v1/chat/completions'


def send_request(bench: Bench, entry: str, name: str = 'r') -> Answer:
    return bench.get_caller(entry).call(
        CHAT,
        'POST',
        b'{}',
        {
            'standin-tokens': '2',
            'waywell-request-id': name,
            'waywell-repeatable': 'yes',
        },
    )


def list_epochs(bench: Bench, entry: str, group_set: str) -> list[int]:
    return [
        group['epoch']
        for group in bench.read_status(entry)['groups']
        if group['group_set'] == group_set and group['state'] == 'serving'
    ]


def find_holder(bench: Bench, duty: str) -> str | None:
    """Return the name of the running entry box that holds a duty, if any."""
    for name, process in bench.entries.items():
        if not process.is_running() or process.is_stopped():
            continue
        dump = bench.get_admin(name).call('GET', '/v1/dump').read_json()
        if dump['tasks'][duty]['held']:
            return name
    return None


def start_halls(
    bench: Bench,
    entries: int,
    boxes: int,
    timing: Mapping[str, float] = SHORT_TIMING,
    **changes: Any,
) -> None:
    """Start entry boxes and target boxes, and apply a configuration."""
    for number in range(entries):
        bench.start_entry(f'entry-{number}', timing=dict(timing))
    specs = [
        BoxSpec(f'box-{number}', labels={'pool': 'llm'})
        for number in range(boxes)
    ]
    bench.start_boxes(specs)
    answer = bench.apply('entry-0', make_configuration(**changes))
    assert answer.status == 200


def test_dead_member_stops_the_group_before_the_box_list(pair: Bench) -> None:
    pair.targets['box-2'].kill()
    for entry in ('entry-1', 'entry-2'):
        pair.wait_serving(entry, 'llm-main', 0)
        answer = send_request(pair, entry)
        assert answer.status == 503
        assert answer.headers['waywell-ran'] == 'not_run'
    # The box list still shows the box as live.
    groups = pair.read_status('entry-1')['groups']
    states = {group['group_set']: group['state'] for group in groups}
    assert states['llm-main'] == 'serving'


def test_without_probes_a_broken_group_serves(bench: Bench) -> None:
    """Without health checks, a head answers although a member is dead.

    This shows that the test above depends on the health checks.
    """
    for number in (1, 2):
        bench.start_box(BoxSpec(f'box-{number}', labels={'pool': 'llm'}))
    bench.start_entry('entry-1', timing=SHORT_TIMING, switch='ignore_probes')
    bench.apply('entry-1', make_configuration())
    bench.wait_serving('entry-1', 'llm-main', 1)
    bench.targets['box-2'].kill()
    dump = bench.get_admin('entry-1')
    wait_until(
        lambda: dump.call('GET', '/v1/dump').read_json()['tasks']['prober'][
            'down'
        ],
        'the prober to detect the dead member',
    )
    assert send_request(bench, 'entry-1').status == 200


def test_box_that_returns_as_if_nothing_happened(pair: Bench) -> None:
    """A restarted box has lost its order and gets one of a higher epoch."""
    before = list_epochs(pair, 'entry-1', 'llm-main')
    spec = pair.specs['box-1']
    pair.targets['box-1'].kill()
    pair.wait_serving('entry-2', 'llm-main', 0)
    # The box list shows no change: the box is live since the same start.
    pair.restart_target(spec)
    pair.wait_serving('entry-2', 'llm-main', 1)
    pair.wait_serving('entry-1', 'llm-main', 1)
    assert list_epochs(pair, 'entry-1', 'llm-main') > before
    assert send_request(pair, 'entry-1').status == 200


def test_lost_box_is_replaced_by_a_spare(bench: Bench) -> None:
    start_halls(bench, entries=2, boxes=3)
    bench.wait_serving('entry-1', 'llm-main', 1)
    members = bench.read_status('entry-1')['groups'][0]['boxes']
    bench.targets[members[1]].kill()
    bench.set_box_state(members[1], 'lost')
    bench.wait_serving('entry-1', 'llm-main', 0)
    bench.wait_serving('entry-1', 'llm-main', 1)
    now = bench.read_status('entry-1')['groups'][0]['boxes']
    assert members[1] not in now
    assert len(set(now)) == 2
    assert send_request(bench, 'entry-1').status == 200


def test_frozen_assembler_changes_nothing_when_it_thaws(bench: Bench) -> None:
    start_halls(bench, entries=3, boxes=5, groups=2)
    for number in range(3):
        bench.wait_serving(f'entry-{number}', 'llm-main', 2)
    holder = wait_until(
        lambda: find_holder(bench, 'assembly'),
        'an assembler',
    )
    bench.entries[holder].send_signal(signal.SIGSTOP)
    other = next(name for name in bench.entries if name != holder)
    lost = bench.read_status(other)['groups'][0]['boxes'][0]
    bench.targets[lost].kill()
    bench.set_box_state(lost, 'lost')
    second = wait_until(
        lambda: find_holder(bench, 'assembly'),
        'another assembler',
    )
    assert second != holder
    bench.wait_serving(second, 'llm-main', 2)
    wanted = bench.read_status(second)['groups']
    bench.entries[holder].send_signal(signal.SIGCONT)
    wait_until(
        lambda: bench.read_status(holder)['groups'] == wanted,
        'the resumed node to adopt the roster',
    )
    for number in range(20):
        assert send_request(bench, holder, f'h{number}').status == 200
    boxes = [box for group in wanted for box in group['boxes']]
    assert len(boxes) == len(set(boxes)) == 4
    assert find_shared_boxes(bench) == []


def test_roster_write_whose_answer_is_lost(bench: Bench) -> None:
    for number in range(2):
        bench.start_box(BoxSpec(f'box-{number}', labels={'pool': 'llm'}))
    bench.start_entry('entry-0', timing=SHORT_TIMING)
    bench.set_platform_faults(lose_answers=6)
    # The operator's own write loses its answer, too, and is found stored.
    assert bench.apply('entry-0', make_configuration()).status == 200
    bench.wait_serving('entry-0', 'llm-main', 1)
    assert send_request(bench, 'entry-0').status == 200
    assert find_shared_boxes(bench) == []


def test_refused_roster_write_is_made_again(bench: Bench) -> None:
    """A change is planned again if the first write of it is refused."""
    start_halls(bench, entries=1, boxes=3)
    bench.wait_serving('entry-0', 'llm-main', 1)
    bench.set_platform_faults(refuse_kind='roster')
    lost = bench.read_status('entry-0')['groups'][0]['boxes'][1]
    bench.set_box_state(lost, 'lost')
    log = bench.entries['entry-0'].log
    wait_until(
        lambda: 'roster_not_written' in log.read_text(),
        'a write to be refused',
    )
    bench.set_platform_faults(refuse_kind='')
    wait_until(
        lambda: lost not in bench.read_status('entry-0')['groups'][0]['boxes'],
        'the lost box to be replaced',
    )
    bench.wait_serving('entry-0', 'llm-main', 1)


def test_empty_box_list_stops_nothing(bench: Bench) -> None:
    """The list has no boxes, although the boxes pass their health checks."""
    # With this timing, a box that stalls under load still answers in time.
    start_halls(
        bench,
        entries=2,
        boxes=4,
        timing={**SHORT_TIMING, 'probe': 3.0, 'evidence': 12.0},
        groups=2,
    )
    for entry in ('entry-0', 'entry-1'):
        bench.wait_serving(entry, 'llm-main', 2)
    bench.set_platform_faults(forget_kind='box')
    holder = wait_until(
        lambda: find_holder(bench, 'assembly'),
        'an assembler',
    )
    log = bench.entries[holder].log
    wait_until(
        lambda: 'box_list_doubted' in log.read_text(),
        'the list to be doubted',
    )
    for entry in ('entry-0', 'entry-1'):
        assert send_request(bench, entry).status == 200
    assert bench.count_serving('entry-1', 'llm-main') == 2


def test_operators_race_on_one_version(pair: Bench) -> None:
    number = pair.get_admin('entry-1').call('GET', '/v1/configuration')
    expected = number.read_json()['number']
    answers: list[Answer] = []

    def apply(entry: str, groups: int) -> None:
        answers.append(
            pair.get_admin(entry).call(
                'PUT',
                f'/v1/configuration?expected={expected}',
                make_configuration(groups=groups),
            ),
        )

    threads = [
        threading.Thread(target=apply, args=(f'entry-{1 + turn % 2}', turn))
        for turn in range(6)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    statuses = sorted(answer.status for answer in answers)
    assert statuses == [200, 409, 409, 409, 409, 409]


def test_relabelled_box_leaves_its_group(bench: Bench) -> None:
    """A box joins another group set only after its group has released it."""
    start_halls(bench, entries=2, boxes=3)
    bench.wait_serving('entry-1', 'llm-main', 1)
    members = bench.read_status('entry-1')['groups'][0]['boxes']
    stream: list[Answer] = []
    thread = threading.Thread(
        target=lambda: stream.append(
            bench.get_caller('entry-1').call(
                CHAT,
                'POST',
                b'{}',
                {'standin-tokens': '300', 'waywell-request-id': 'long'},
            ),
        ),
    )
    thread.start()
    wait_until(lambda: list_runs(bench), 'the stream to begin')
    head = members[0]
    bench.relabel(head, {'pool': 'other'})
    wait_until(
        lambda: any(
            group['state'] == 'serving' and head not in group['boxes']
            for group in bench.read_status('entry-1')['groups']
        ),
        'a group without the relabelled box',
    )
    thread.join()
    assert stream[0].body.count(b'"token"') == 300
    assert send_request(bench, 'entry-1', 'after').status == 200
    ran = {
        line['box'] for line in list_runs(bench) if line['request'] == 'after'
    }
    assert head not in ran
    assert find_shared_boxes(bench) == []
