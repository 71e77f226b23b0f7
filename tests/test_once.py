"""Unrepeatable requests run at most once, and "not run" is always true."""

from __future__ import annotations

import signal
import threading
import time
from typing import TYPE_CHECKING, Any

import pytest

from tests.checker import count_runs, find_false_refusals, find_repeated
from tests.conftest import SHORT_TIMING
from waywell.client import Answer, UnreachableError
from waywell.standins.harness import (
    CALLER_KEY,
    BoxSpec,
    hash_text,
    make_configuration,
    wait_until,
)

if TYPE_CHECKING:
    from waywell.standins.harness import Bench

PATH = '/services/app/consist'


def submit(
    bench: Bench,
    entry: str,
    request_id: str,
    key: str = CALLER_KEY,
    **headers: str,
) -> Answer | None:
    """Submit an unrepeatable request; ``None`` if the connection breaks."""
    caller = bench.get_caller(entry, key)
    try:
        return caller.call(
            PATH,
            'POST',
            b'{}',
            {
                'waywell-request-id': request_id,
                'waywell-repeatable': 'no',
                **{
                    name.replace('_', '-'): text
                    for name, text in headers.items()
                },
            },
        )
    except UnreachableError:
        return None


def get_prefix(bench: Bench, entry: str) -> str:
    caller = bench.get_caller(entry)
    caller.refresh()
    return caller.prefix


def get_code(answer: Answer | None) -> tuple[str, str]:
    assert answer is not None
    return answer.headers['waywell-code'], answer.headers['waywell-ran']


def wait_done(bench: Bench, entry: str, name: str) -> None:
    """Wait until repeats report "ran"; before, they report "may have run".

    The home node learns the outcome shortly after the caller has its answer.
    """

    def is_settled() -> bool:
        code = get_code(submit(bench, entry, name))
        assert code in {('3005', 'may_have_run'), ('3006', 'ran')}
        return code == ('3006', 'ran')

    wait_until(is_settled, f'{name} to be settled')


def start_submitting(
    bench: Bench,
    entry: str,
    request_id: str,
    **headers: str,
) -> tuple[threading.Thread, list[Any]]:
    """Submit in a thread; return the thread and the list of its answers."""
    answers: list[Any] = []

    def submit_once() -> None:
        answers.append(submit(bench, entry, request_id, **headers))

    thread = threading.Thread(target=submit_once)
    thread.start()
    return thread, answers


@pytest.mark.parametrize('entry', ['entry-1', 'entry-2'])
def test_repeat_at_any_entry_reports_that_it_ran(
    pair: Bench, entry: str
) -> None:
    name = get_prefix(pair, 'entry-1') + 'a'
    first = submit(pair, 'entry-1', name)
    assert first is not None
    assert first.status == 200
    wait_done(pair, entry, name)
    assert count_runs(pair)[name] == 1


def test_simultaneous_submissions_at_two_entries_run_once(pair: Bench) -> None:
    pair.set_target_faults('app-1', slow=0.3)
    prefix = get_prefix(pair, 'entry-2')
    names = [f'{prefix}{number}' for number in range(10)]
    started = [
        start_submitting(pair, entry, name)
        for name in names
        for entry in ('entry-1', 'entry-2')
    ]
    for thread, _ in started:
        thread.join()
    statuses = [answers[0].status for _, answers in started]
    assert statuses.count(200) == len(names)
    assert find_repeated(pair, set(names)) == []


def test_without_claims_a_repeat_runs_twice(bench: Bench) -> None:
    """Check that the tests of this module detect repeated runs."""
    bench.start_entry('entry-1', timing=SHORT_TIMING, switch='claim_nothing')
    bench.start_box(BoxSpec('app-1', fenced=False, labels={'pool': 'app'}))
    bench.apply('entry-1', make_configuration())
    bench.wait_serving('entry-1', 'app-main', 1)
    name = get_prefix(bench, 'entry-1') + 't'
    for _ in range(2):
        submit(bench, 'entry-1', name)
    assert find_repeated(bench, {name}) == [name]


def test_entry_killed_during_the_run_leaves_an_unknown_outcome(
    pair: Bench,
) -> None:
    pair.set_target_faults('app-1', slow=1.0)
    for home, submitter in (('entry-2', 'entry-1'), ('entry-1', 'entry-1')):
        if (
            submitter not in pair.entries
            or not pair.entries[submitter].is_running()
        ):
            pair.start_entry(submitter, timing=SHORT_TIMING)
            pair.wait_serving(submitter, 'app-main', 1)
        name = get_prefix(pair, home) + 'k'
        thread, answers = start_submitting(pair, submitter, name)
        wait_until(
            lambda name=name: count_runs(pair)[name], 'the run to begin'
        )
        pair.entries[submitter].kill()
        thread.join()
        assert answers == [None]
        repeat = wait_until(
            lambda name=name: _submit_until_unknown(pair, name),
            'the outcome to be unknown',
        )
        assert get_code(repeat) == ('3004', 'may_have_run')
        assert count_runs(pair)[name] == 1


def _submit_until_unknown(bench: Bench, name: str) -> Answer | None:
    answer = submit(bench, 'entry-2', name)
    assert answer is not None
    assert answer.status != 200
    code, ran = get_code(answer)
    assert ran == 'may_have_run'
    return answer if code == '3004' else None


def test_restarted_home_does_not_run_ids_of_its_earlier_incarnation(
    pair: Bench,
) -> None:
    name = get_prefix(pair, 'entry-1') + 'x'
    submit(pair, 'entry-1', name)
    pair.entries['entry-1'].kill()
    pair.start_entry('entry-1', timing=SHORT_TIMING)
    pair.wait_serving('entry-1', 'app-main', 1)
    repeat = submit(pair, 'entry-1', name)
    assert get_code(repeat)[1] == 'may_have_run'
    assert count_runs(pair)[name] == 1


def test_frozen_home_does_not_delay_the_answer(pair: Bench) -> None:
    """The answer is relayed although the home node can't be told."""
    pair.set_target_faults('app-1', slow=0.4)
    name = get_prefix(pair, 'entry-2') + 'h'
    thread, answers = start_submitting(pair, 'entry-1', name)
    wait_until(lambda: count_runs(pair)[name], 'the run to begin')
    pair.entries['entry-2'].send_signal(signal.SIGSTOP)
    thread.join()
    # The request's log line is written when its processing has ended.
    log = pair.entries['entry-1'].log
    wait_until(lambda: name in log.read_text(), 'the request to end')
    frozen = pair.entries['entry-2'].is_stopped()
    pair.entries['entry-2'].send_signal(signal.SIGCONT)
    assert frozen
    assert answers[0].status == 200


def test_platform_outage_affects_only_ids_that_callers_made(
    pair: Bench,
) -> None:
    pair.set_platform_faults(outage=True)
    name = get_prefix(pair, 'entry-1') + 'd'
    first = submit(pair, 'entry-2', name)
    assert first is not None
    assert first.status == 200
    wait_done(pair, 'entry-1', name)
    own = submit(pair, 'entry-1', 'my-own-id')
    assert get_code(own) == ('3008', 'may_have_run')
    assert count_runs(pair)['my-own-id'] == 0
    assert count_runs(pair)[name] == 1


def test_ids_that_callers_made_are_claimed_in_the_platform(
    pair: Bench,
) -> None:
    pair.set_platform_faults(lose_answers=1)
    first = submit(pair, 'entry-1', 'own-1')
    assert first is not None
    assert first.status == 200
    assert get_code(submit(pair, 'entry-2', 'own-1'))[1] == 'may_have_run'
    assert count_runs(pair)['own-1'] == 1


def test_target_that_closes_after_reading_may_have_run(pair: Bench) -> None:
    pair.set_target_faults('app-1', close_after_read=True)
    name = get_prefix(pair, 'entry-1') + 'c'
    assert get_code(submit(pair, 'entry-1', name)) == ('3002', 'may_have_run')
    pair.set_target_faults('app-1', close_after_read=False)
    assert get_code(submit(pair, 'entry-2', name)) == ('3004', 'may_have_run')
    assert count_runs(pair)[name] == 1


def test_refused_as_not_run_never_runs(pair: Bench) -> None:
    """A refused id stays refused even after a group serves again."""
    pair.targets['app-1'].kill()
    prefix = get_prefix(pair, 'entry-1')
    refusals = []
    for number in range(5):
        name = f'{prefix}n{number}'
        code, ran = get_code(submit(pair, 'entry-1', name))
        refusals.append({'request': name, 'code': code, 'ran': ran})
    pair.start_box(BoxSpec('app-1', fenced=False, labels={'pool': 'app'}))
    pair.wait_serving('entry-2', 'app-main', 1)
    for refusal in refusals:
        if refusal['ran'] == 'not_run':
            repeat = submit(pair, 'entry-2', refusal['request'])
            assert get_code(repeat) == ('3007', 'not_run')
    assert {refusal['ran'] for refusal in refusals} == {'not_run'}
    assert find_false_refusals(pair, refusals) == []


def test_deadline_that_passes_during_the_run_may_have_run(pair: Bench) -> None:
    pair.set_target_faults('app-1', slow=2.0)
    name = get_prefix(pair, 'entry-1') + 'l'
    began_at = time.monotonic()
    answer = submit(pair, 'entry-1', name, waywell_deadline='0.3')
    assert get_code(answer) == ('2005', 'may_have_run')
    # The answer does not wait for the target.
    assert time.monotonic() - began_at < 2.0
    assert get_code(submit(pair, 'entry-2', name)) == ('3004', 'may_have_run')
    assert count_runs(pair)[name] == 1


def test_equal_ids_of_two_accounts_are_separate(bench: Bench) -> None:
    bench.start_box(BoxSpec('app-1', fenced=False, labels={'pool': 'app'}))
    bench.start_entry('entry-1', timing=SHORT_TIMING)
    accounts = [
        {'name': 'desk', 'key_hashes': [hash_text(CALLER_KEY)]},
        {'name': 'other', 'key_hashes': [hash_text('other-key')]},
    ]
    bench.apply('entry-1', make_configuration(account=accounts))
    bench.wait_serving('entry-1', 'app-main', 1)
    name = get_prefix(bench, 'entry-1') + 's'
    assert submit(bench, 'entry-1', name, 'other-key').status == 200
    assert submit(bench, 'entry-1', name).status == 200
    wait_done(bench, 'entry-1', name)


def test_entry_frozen_before_the_write_sends_nothing_late(
    bench: Bench,
) -> None:
    """An entry box frozen between decision and write checks the deadline."""
    late = run_frozen(bench, 'pause_before_write')
    assert late == ('2005', 'not_run', 0)


def test_without_the_check_before_the_write_a_late_run_is_detected(
    bench: Bench,
) -> None:
    """Check that the test above detects a run after the deadline."""
    late = run_frozen(bench, 'pause_before_write_unchecked')
    assert late[2] == 1


def run_frozen(bench: Bench, switch: str) -> tuple[str, str, int]:
    """Freeze an entry box right before its write until the deadline passed."""
    bench.start_box(BoxSpec('app-1', fenced=False, labels={'pool': 'app'}))
    bench.start_entry('entry-1', timing=SHORT_TIMING, switch=switch)
    bench.apply('entry-1', make_configuration())
    bench.wait_serving('entry-1', 'app-main', 1)
    name = get_prefix(bench, 'entry-1') + 'f'
    thread, answers = start_submitting(
        bench,
        'entry-1',
        name,
        waywell_deadline='0.5',
    )
    process = bench.entries['entry-1']
    wait_until(process.is_stopped, 'the entry box to freeze itself')
    time.sleep(0.6)
    process.send_signal(signal.SIGCONT)
    thread.join()
    # A run that has begun is recorded by the end of this request.
    bench.get_caller('entry-1').call('/services/app/price')
    code, ran = get_code(answers[0]) if answers[0].status != 200 else ('0', '')
    return code, ran, count_runs(bench)[name]
