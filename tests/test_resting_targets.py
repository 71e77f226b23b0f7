"""Targets that ask for rest, before the product's own entry daemon.

Like the front daemon it did not read the wish: the answer counted as one of a
sound target, so a target that turns all requests away and is quick at it got
more of them than the others.
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
"""Of which some would go to a target that is one of two."""

PATH = '/services/app/price'


def let_rest(bench: Bench, name: str) -> None:
    """Ask until a target has turned a request away for its rest."""
    bench.set_target_faults(name, rest=LONG_REST)
    caller = bench.get_caller('entry-1')

    def ask() -> bool:
        caller.call(PATH)
        return bench.read_target(name)['turned_away'] > 0

    wait_until(ask, f'the wish of {name}')


def test_a_target_that_asked_for_rest_gets_nothing_more(bench: Bench) -> None:
    start_plain_targets(bench, ('entry-1',), ('app-1', 'app-2'))
    let_rest(bench, 'app-1')
    caller = bench.get_caller('entry-1')
    for _request in range(REQUESTS):
        assert caller.call(PATH).status == 200
    assert bench.read_target('app-1')['turned_away'] == 1


def test_where_all_ask_for_rest_callers_are_refused_at_once(
    bench: Bench,
) -> None:
    start_plain_targets(bench, ('entry-1',), ('app-1', 'app-2'))
    for name in ('app-1', 'app-2'):
        let_rest(bench, name)
    refused = bench.get_caller('entry-1').call(PATH)
    assert refused.status == 503
    assert refused.read_json()['code'] == Code.REPLICAS_REST
    assert refused.read_json()['ran'] == 'not_run'
    for name in ('app-1', 'app-2'):
        assert bench.read_target(name)['turned_away'] == 1
