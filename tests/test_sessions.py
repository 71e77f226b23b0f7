"""Session affinity: sessions stay on their group while it serves."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from tests.checker import list_runs
from tests.conftest import SHORT_TIMING
from waywell.ids import Fingerprint, SessionId
from waywell.request.facts import RequestFacts
from waywell.request.routing import hash_session
from waywell.request.submission import PendingRequest, Submission
from waywell.request.traits import RequestTraits
from waywell.standins.harness import (
    BoxSpec,
    make_configuration,
    wait_until,
)
from waywell.version.objects import Account, Service
from waywell.version.serving import RequestShape

if TYPE_CHECKING:
    from waywell.standins.harness import Bench

SESSIONS = [f's{number}' for number in range(12)]


def ask_all(bench: Bench, round_name: str) -> dict[str, str]:
    """Send a request in each session; return the group that ran each."""
    for number, session in enumerate(SESSIONS):
        caller = bench.get_caller(f'entry-{1 + number % 2}')
        name = f'{round_name}-{session}'
        headers = {'waywell-session': session, 'waywell-request-id': name}
        answer = caller.call('/services/llm/x', headers=headers)
        assert answer.status == 200, answer.body
    return {
        run['request'].partition('-')[2]: run['group']
        for run in list_runs(bench)
        if run['request'].startswith(f'{round_name}-')
    }


def test_sessions_move_only_while_their_group_is_lost(bench: Bench) -> None:
    for number in (1, 2):
        bench.start_entry(f'entry-{number}', timing=SHORT_TIMING)
    specs = [BoxSpec(f'box-{n}', labels={'pool': 'llm'}) for n in range(3)]
    bench.start_boxes(specs)
    configuration = make_configuration(groups=3, boxes_per_group=1)
    bench.apply('entry-1', configuration)
    for number in (1, 2):
        bench.wait_serving(f'entry-{number}', 'llm-main', 3)
    first = ask_all(bench, 'one')
    assert len(set(first.values())) == 3
    assert ask_all(bench, 'two') == first
    lost = bench.read_status('entry-1')['groups'][0]
    box = lost['boxes'][0]
    bench.targets[box].kill()
    for number in (1, 2):
        bench.wait_serving(f'entry-{number}', 'llm-main', 2)
    moved = ask_all(bench, 'three')
    for session, group in first.items():
        if group == lost['group']:
            assert moved[session] != group
        else:
            assert moved[session] == group
    reasons = {
        line['request'].partition('-')[2]: line['reason']
        for line in bench.read_history('history-*.jsonl')
        if line['event'] == 'dispatched'
        and line['request'].startswith('three-')
    }
    for session, group in first.items():
        expected = 'moved_down' if group == lost['group'] else 'session'
        assert reasons[session] == expected
    bench.set_box_state(box, 'lost')
    bench.start_box(BoxSpec(box, labels={'pool': 'llm'}))
    for number in (1, 2):
        bench.wait_serving(f'entry-{number}', 'llm-main', 3)
    names = {g['group'] for g in bench.read_status('entry-1')['groups']}
    if lost['group'] in names:
        wait_until(lambda: ask_all(bench, 'four') == first, 'the return')


def test_sessions_move_if_the_choice_ignores_them(bench: Bench) -> None:
    """Shows that the check of session affinity can fail."""
    for number in (1, 2):
        bench.start_entry(
            f'entry-{number}',
            timing=SHORT_TIMING,
            switch='forget_sessions',
        )
    specs = [BoxSpec(f'box-{n}', labels={'pool': 'llm'}) for n in range(3)]
    bench.start_boxes(specs)
    bench.apply('entry-1', make_configuration(groups=3, boxes_per_group=1))
    for number in (1, 2):
        bench.wait_serving(f'entry-{number}', 'llm-main', 3)
    assert ask_all(bench, 'one') != ask_all(bench, 'two')


def test_accounts_do_not_share_session_ids() -> None:
    account = Account('a')
    work = PendingRequest(
        submission=Submission('GET', '/', {}, (), b''),
        caller=None,
        facts=RequestFacts('llm', '/', 'key', session=SessionId('s')),
        account=account,
        service=Service('llm'),
        shape=RequestShape('llm', 'a', 'default'),
        arrived_at=0,
        deadline_at=1,
        traits=RequestTraits(Fingerprint('f')),
    )
    other = attrs.evolve(work, account=Account('b'))
    assert work.session == 'a/s'
    assert hash_session(work.session) != hash_session(other.session)
