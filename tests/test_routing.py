"""Choice of the group: session affinity, load balancing and reasons."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from waywell.ids import Epoch, GroupId, HallName, SessionId
from waywell.request.routing import (
    ChoiceReason,
    GroupLoad,
    LoadSource,
    choose_for_session,
    choose_less_loaded,
)
from waywell.version.roster import BoxId, Group, GroupState, Member


def make_group(number: int) -> Group:
    return Group(
        GroupId(f'g{number}'),
        's',
        'llm',
        Epoch(1),
        GroupState.SERVING,
        HallName('h'),
        (Member(BoxId(f'b{number}'), '127.0.0.1', 1, 0),),
    )


GROUPS = [make_group(number) for number in range(20)]


class FixedLoads(LoadSource):
    """Load source with loads that a test sets."""

    def __init__(self, **loads: GroupLoad) -> None:
        self.loads = loads

    def get_load(self, group: GroupId) -> GroupLoad:
        return self.loads.get(group, GroupLoad())

    def get_average_cost(self) -> float:
        return 1


def is_usable(_group: Group) -> bool:
    return True


def choose(session: int, down: frozenset[str] = frozenset()) -> tuple:
    choice = choose_for_session(
        SessionId(f'a/{session}'),
        GROUPS,
        lambda group: group.group not in down,
        FixedLoads(),
    )
    assert choice is not None
    return choice.group.group, choice.reason


def test_sessions_spread_over_the_groups() -> None:
    counts = Counter(choose(session)[0] for session in range(4000))
    assert len(counts) == len(GROUPS)
    assert max(counts.values()) < 2 * min(counts.values())


@pytest.mark.parametrize('seed', range(5))
def test_choice_does_not_depend_on_the_order_of_groups(seed: int) -> None:
    shuffled = Random(seed).sample(GROUPS, len(GROUPS))
    session = SessionId(f'a/{seed}')
    first = choose_for_session(session, GROUPS, is_usable, FixedLoads())
    second = choose_for_session(session, shuffled, is_usable, FixedLoads())
    assert first == second


def test_only_sessions_of_a_lost_group_move_until_it_returns() -> None:
    before = {session: choose(session) for session in range(500)}
    for session, (group, _) in before.items():
        moved, reason = choose(session, frozenset(('g3',)))
        if group == 'g3':
            assert moved != 'g3'
            assert reason is ChoiceReason.MOVED_DOWN
        else:
            assert (moved, reason) == (group, ChoiceReason.SESSION)
        assert choose(session) == before[session]


def test_session_leaves_a_group_far_above_the_average_cost() -> None:
    own, _ = choose(1)
    loads = FixedLoads(**{own: GroupLoad(in_flight=50)})
    choice = choose_for_session(SessionId('a/1'), GROUPS, is_usable, loads)
    assert choice is not None
    assert choice.group.group != own
    assert choice.reason is ChoiceReason.MOVED_LOAD


def test_session_stays_if_all_groups_exceed_the_bound() -> None:
    loads = {group.group: GroupLoad(in_flight=90) for group in GROUPS}
    choice = choose_for_session(
        SessionId('a/1'),
        GROUPS,
        is_usable,
        FixedLoads(**loads),
    )
    assert choice is not None
    assert choice.group.group == choose(1)[0]


def test_less_loaded_of_two_groups_is_chosen() -> None:
    loads = {f'g{n}': GroupLoad(in_flight=n) for n in range(20)}
    counts = Counter()
    random = Random(4)
    for _ in range(2000):
        choice = choose_less_loaded(
            GROUPS,
            is_usable,
            FixedLoads(**loads),
            random,
        )
        assert choice is not None
        counts[choice.group.group] += 1
    assert counts['g19'] == 0
    assert counts['g0'] > counts['g10']


def test_only_usable_group_is_found() -> None:
    random = Random(1)
    for group in GROUPS:
        choice = choose_less_loaded(
            GROUPS,
            lambda other, group=group: other == group,
            FixedLoads(),
            random,
        )
        assert choice is not None
        assert choice.group == group


def test_no_group_is_chosen_if_none_is_usable() -> None:
    args = (GROUPS, lambda _group: False, FixedLoads())
    assert choose_less_loaded(*args, Random(1)) is None
    assert choose_for_session(SessionId('s'), *args) is None


def test_group_that_returns_costs_more_at_first() -> None:
    returned = GroupLoad(in_flight=2, weight=0.2)
    settled = GroupLoad(in_flight=2)
    assert returned.cost > settled.cost


def test_group_in_backoff_is_chosen_only_if_all_are() -> None:
    """A request must not go to failed groups while others are healthy.

    Half of the groups have just failed.  Four groups are drawn and two of them
    compared.  If both were in backoff, the request went to a group that had
    ended, and it was refused once its retries were spent.
    """
    in_backoff = GroupLoad(weight=0.0)
    loads = FixedLoads(**{f'g{number}': in_backoff for number in range(10)})
    for seed in range(200):
        choice = choose_less_loaded(GROUPS, is_usable, loads, Random(seed))
        assert choice is not None
        assert int(choice.group.group[1:]) >= 10
    only = choose_less_loaded(GROUPS[:3], is_usable, loads, Random(1))
    assert only is not None
