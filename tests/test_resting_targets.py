"""Targets that ask the entry daemon for a rest period.

The tests guard against an entry daemon that ignores the rest period.  The
rejection then counted as the answer of a healthy target, so a target that
quickly rejected all requests got more of them than the others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.conftest import start_plain_targets
from waywell.codes import Code
from waywell.standins.harness import wait_until

if TYPE_CHECKING:
    from waywell.standins.harness import Bench

LONG_REST = '600'
"""Seconds of rest that outlast every test."""

REQUESTS = 12
"""Enough requests that some would go to either of two targets."""

PATH = '/services/app/price'


def request_rest(bench: Bench, name: str) -> None:
    """Make a target ask for rest; send requests until it has rejected one."""
    bench.set_target_faults(name, rest=LONG_REST)
    caller = bench.get_caller('entry-1')

    def ask() -> bool:
        caller.call(PATH)
        return bench.read_target_counts(name)['turned_away'] > 0

    wait_until(ask, f'{name} to ask for rest')


def test_resting_target_gets_no_requests(bench: Bench) -> None:
    start_plain_targets(bench, ('entry-1',), ('app-1', 'app-2'))
    request_rest(bench, 'app-1')
    caller = bench.get_caller('entry-1')
    for _request in range(REQUESTS):
        assert caller.call(PATH).status == 200
    assert bench.read_target_counts('app-1')['turned_away'] == 1


def test_requests_are_refused_at_once_if_all_targets_rest(
    bench: Bench,
) -> None:
    start_plain_targets(bench, ('entry-1',), ('app-1', 'app-2'))
    for name in ('app-1', 'app-2'):
        request_rest(bench, name)
    refused = bench.get_caller('entry-1').call(PATH)
    assert refused.status == 503
    assert refused.read_json()['code'] == Code.REPLICAS_REST
    assert refused.read_json()['ran'] == 'not_run'
    for name in ('app-1', 'app-2'):
        assert bench.read_target_counts(name)['turned_away'] == 1
