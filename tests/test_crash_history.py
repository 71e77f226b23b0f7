"""Which requests and prompt parts the crash history blames for crashes."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from waywell.ids import BoxId, Epoch, Fingerprint, PromptPart, Trait
from waywell.quarantine.crash_history import (
    CRASHES_TO_HOLD,
    HOLD_SECONDS,
    MAX_CRASHES,
    MAX_HOLD_SECONDS,
    MAX_REPORTED_HOLDS,
    MAX_SERVED,
    MAX_SUSPECTS,
    MEMORY_SECONDS,
    SAME_CRASH_SECONDS,
    SERVED_SECONDS,
    CrashHistory,
    Hold,
)
from waywell.version.fleet import ReplicaKey

DEADLY = Fingerprint('deadly')


def make_key(number: int) -> ReplicaKey:
    return ReplicaKey(BoxId(f'b{number}'), Epoch(1))


def record_crash(
    history: CrashHistory, number: int, *names: str, at: float = 0.0
) -> bool:
    """Record a crash under requests without any part of an answer."""
    runs = {Fingerprint(name): False for name in names}
    return history.record_crash(make_key(number), runs, at or float(number))


def test_the_third_crash_under_one_request_holds_it_back() -> None:
    history = CrashHistory()
    record_crash(history, 1, 'deadly', 'a', 'b')
    record_crash(history, 2, 'deadly', 'b', 'c')
    assert not history.holds
    assert history.count_crashes(DEADLY) == 2
    record_crash(history, 3, 'deadly', 'c', 'd')
    assert set(history.holds) == {DEADLY}
    hold = history.find_hold(DEADLY, 3.0)
    assert hold == Hold(3, 3.0)
    # The requests that ran beside it are explained by it.
    assert not any(history.count_crashes(Fingerprint(name)) for name in 'abcd')


def test_a_request_interrupted_beside_the_cause_three_times_is_not_held() -> (
    None
):
    history = CrashHistory()
    for number in (1, 2, 3):
        record_crash(history, number, 'deadly', 'innocent')
    record_crash(history, 4, 'deadly')
    assert set(history.holds) == {DEADLY}
    record_crash(history, 5, 'innocent', 'deadly')
    assert set(history.holds) == {DEADLY}


@pytest.mark.parametrize('innocent', ['a', 'z'])
def test_of_two_requests_always_interrupted_together_the_served_one_is_freed(
    innocent: str,
) -> None:
    history = CrashHistory()
    for number in (1, 2, 3):
        record_crash(history, number, 'deadly', innocent)
    assert len(history.holds) == 1
    history.record_served(Fingerprint(innocent), 4.0)
    assert set(history.holds) == {DEADLY}


def test_a_request_with_a_begun_answer_is_less_likely_the_cause() -> None:
    history = CrashHistory()
    for number in (1, 2, 3):
        runs = {Fingerprint('a'): number == 2, DEADLY: False}
        history.record_crash(make_key(number), runs, float(number))
    assert set(history.holds) == {DEADLY}


def test_two_deadly_requests_are_both_held() -> None:
    history = CrashHistory()
    for number in range(3):
        record_crash(history, number + 1, 'deadly', *('a' if number else ''))
        record_crash(history, number + 11, 'other', *('a' if number else ''))
    assert set(history.holds) == {DEADLY, Fingerprint('other')}


def test_one_more_crash_of_each_cause_clears_an_innocent_request() -> None:
    history = CrashHistory()
    for number in range(3):
        record_crash(history, number + 1, 'deadly', 'a')
        record_crash(history, number + 11, 'other', 'a')
    record_crash(history, 4, 'deadly')
    record_crash(history, 14, 'other')
    assert set(history.holds) == {DEADLY, Fingerprint('other')}


def test_a_frequent_request_is_not_held_when_a_domain_is_lost() -> None:
    """A single key with much of the traffic runs on every lost replica."""
    history = CrashHistory()
    frequent = Fingerprint('hot')
    history.record_served(frequent, 1.0)
    for number in range(5):
        record_crash(
            history,
            number,
            'hot',
            f'cold-{number}',
            at=1.0 + SERVED_SECONDS / 2,
        )
    assert not history.holds
    assert not history.count_crashes(frequent)


def test_a_request_served_long_ago_is_suspected_again() -> None:
    history = CrashHistory()
    history.record_served(DEADLY, 1.0)
    for number in (1, 2, 3):
        record_crash(
            history, number, 'deadly', at=2.0 * SERVED_SECONDS + number
        )
    assert set(history.holds) == {DEADLY}


def test_reports_of_many_nodes_about_one_crash_count_once() -> None:
    history = CrashHistory()
    assert record_crash(history, 1, 'deadly', 'a', at=1.0)
    assert record_crash(
        history, 1, 'deadly', 'b', at=1.0 + SAME_CRASH_SECONDS / 2
    )
    assert not record_crash(
        history, 1, 'deadly', 'a', at=1.0 + SAME_CRASH_SECONDS / 2
    )
    assert len(history.crashes) == 1
    assert history.count_crashes(DEADLY) == 1
    # The same replica can crash again under its name.
    assert record_crash(history, 1, 'deadly', at=1.0 + 2 * SAME_CRASH_SECONDS)
    assert history.count_crashes(DEADLY) == 2


def test_one_crash_after_a_hold_starts_a_longer_hold() -> None:
    history = CrashHistory()
    for number in (1, 2, 3):
        record_crash(history, number, 'deadly')
    expires_at = 3.0 + HOLD_SECONDS
    assert history.find_hold(DEADLY, expires_at - 0.1)
    assert history.find_hold(DEADLY, expires_at) is None
    record_crash(history, 4, 'deadly', at=expires_at)
    assert history.holds[DEADLY].expires_at == expires_at + 2 * HOLD_SECONDS
    for number in range(5, 30):
        record_crash(history, number, 'deadly', at=expires_at + number)
    assert (
        history.holds[DEADLY].expires_at == expires_at + 29 + MAX_HOLD_SECONDS
    )


def test_one_crash_after_a_reported_hold_starts_a_longer_hold() -> None:
    history = CrashHistory()
    history.add_reported_hold(DEADLY, Hold(CRASHES_TO_HOLD, 1.0))
    expires_at = 1.0 + HOLD_SECONDS
    assert history.find_hold(DEADLY, expires_at) is None
    record_crash(history, 1, 'deadly', at=expires_at)
    assert history.find_hold(DEADLY, expires_at) == Hold(
        CRASHES_TO_HOLD + 1, expires_at
    )


def test_a_reported_hold_ends_when_the_request_is_served() -> None:
    history = CrashHistory()
    assert history.add_reported_hold(DEADLY, Hold(CRASHES_TO_HOLD, 1.0))
    assert not history.add_reported_hold(DEADLY, Hold(CRASHES_TO_HOLD, 1.0))
    assert history.record_served(DEADLY, 2.0) == CRASHES_TO_HOLD
    assert not history.holds
    # A late report of another node changes nothing.
    assert not history.add_reported_hold(DEADLY, Hold(CRASHES_TO_HOLD, 1.0))


def test_a_reported_hold_does_not_apply_where_all_crashes_are_known() -> None:
    """Other nodes held an innocent request before they knew a later crash."""
    history = CrashHistory()
    for number in (1, 2, 3):
        record_crash(history, number, 'deadly', 'innocent')
    record_crash(history, 4, 'deadly')
    history.add_reported_hold(Fingerprint('innocent'), Hold(3, 3.0))
    assert set(history.holds) == {DEADLY}


def test_a_reported_hold_that_does_not_apply_is_new_only_once() -> None:
    """If it were always new, the nodes would forward its report endlessly."""
    history = CrashHistory()
    for number in (1, 2, 3):
        record_crash(history, number, 'deadly', 'innocent')
    record_crash(history, 4, 'deadly')
    hold = Hold(3, 3.0)
    history.add_reported_hold(Fingerprint('innocent'), hold)
    assert not history.add_reported_hold(Fingerprint('innocent'), hold)


def test_the_history_is_bounded() -> None:
    history = CrashHistory()
    for number in (1, 2, 3):
        record_crash(history, number, 'deadly')
    for number in range(4, 2 * MAX_CRASHES):
        record_crash(history, number, f'r{number}')
    many = [f'm{place}' for place in range(2 * MAX_SUSPECTS)]
    record_crash(history, 2 * MAX_CRASHES, *many)
    for number in range(2 * MAX_SERVED):
        history.record_served(Fingerprint(f's{number}'), 1.0)
    for number in range(2 * MAX_REPORTED_HOLDS):
        history.add_reported_hold(Fingerprint(f't{number}'), Hold(3, 1.0))
    assert len(history.crashes) == MAX_CRASHES
    assert max(len(crash.runs) for crash in history.crashes) == MAX_SUSPECTS
    assert len(history.reported_holds) == MAX_REPORTED_HOLDS
    assert len(history._served) == MAX_SERVED
    # Crashes that a hold is based on are evicted last.
    assert DEADLY in history.holds


def test_old_crashes_are_dropped() -> None:
    history = CrashHistory()
    for number in (1, 2, 3):
        record_crash(history, number, 'deadly')
    history.add_reported_hold(Fingerprint('reported'), Hold(3, 1.0))
    history.drop_expired(1.0 + MEMORY_SECONDS)
    assert set(history.holds) == {DEADLY, Fingerprint('reported')}
    history.drop_expired(4.0 + MEMORY_SECONDS)
    assert not history.crashes
    assert not history.holds


names = st.sets(st.sampled_from('abcdef'), min_size=1)


@given(st.lists(names, min_size=1, max_size=8), st.randoms())
def test_all_nodes_hold_the_same_requests(
    crashes: list[set[str]],
    random: Random,
) -> None:
    """The order in which the reports of crashes arrive does not matter."""
    reports = [
        (number, name)
        for number, present in enumerate(crashes, 1)
        for name in sorted(present)
    ]
    histories = []
    for _node in range(2):
        history = CrashHistory()
        for number, name in reports:
            record_crash(history, number, name)
        histories.append(history)
        random.shuffle(reports)
    assert set(histories[0].holds) == set(histories[1].holds)


class ReplicaSimulation:
    """Replicas that get a deadly request among innocent ones."""

    def __init__(self, random: Random, replicas: int) -> None:
        self.random = random
        self.history = CrashHistory()
        self.now = 0.0
        self.deadly_crashes = 0
        self.retries: list[str] = []
        self.refused: list[str] = []
        self._replicas = replicas

    def run_round(self, arrivals: list[str]) -> None:
        """Run requests concurrently; interrupted ones are retried next round."""
        self.now += SAME_CRASH_SECONDS
        assigned: dict[int, list[str]] = {}
        for name in (*arrivals, *self.retries):
            if self.history.find_hold(Fingerprint(name), self.now):
                self.refused.append(name)
            else:
                replica = self.random.randrange(self._replicas)
                assigned.setdefault(replica, []).append(name)
        self.retries = []
        for replica, requests in assigned.items():
            if DEADLY in requests:
                self.deadly_crashes += 1
                self.retries += [name for name in requests if name != DEADLY]
                record_crash(self.history, replica, *requests, at=self.now)
            else:
                for name in requests:
                    self.history.record_served(Fingerprint(name), self.now)


@given(st.randoms(use_true_random=False), st.integers(1, 6))
def test_a_deadly_request_is_found_among_innocent_ones(
    random: Random,
    replicas: int,
) -> None:
    """This must hold even if all requests share one replica in each round."""
    simulation = ReplicaSimulation(random, replicas)
    for number in range(12):
        simulation.run_round([DEADLY, f'n{number}', f'm{number}'])
    assert simulation.deadly_crashes <= CRASHES_TO_HOLD + 2
    assert set(simulation.history.holds) == {DEADLY}
    assert not simulation.retries


BAD_PART = PromptPart(Trait('part-bad'))
SHARED_PART = PromptPart(Trait('part-shared'))


def record_prompt_crash(
    history: CrashHistory,
    number: int,
    *prompts: tuple[str, ...],
    at: float = 0.0,
    domain: str = '',
) -> None:
    """Record a crash under distinct requests with some shared prompt parts."""
    runs = {
        trait: False
        for place, parts in enumerate(prompts)
        for trait in (
            f'r{number}-{place}',
            *(f'part-{part}' for part in parts),
        )
    }
    history.record_crash(make_key(number), runs, at or float(number), domain)


def test_the_part_common_to_all_crashes_is_held() -> None:
    history = CrashHistory()
    history.record_served(SHARED_PART, 0.5)
    for number in (1, 2, 3):
        record_prompt_crash(
            history,
            number,
            ('shared', 'bad'),
            ('shared', f'other-{number % 2}'),
            ('shared',),
        )
    assert set(history.holds) == {BAD_PART}
    assert history.find_hold(BAD_PART, 3.0) == Hold(3, 3.0)


def test_a_shared_first_part_is_blamed_last() -> None:
    history = CrashHistory()
    for number in (1, 2, 3):
        record_prompt_crash(history, number, ('shared', 'bad'))
    assert set(history.holds) == {BAD_PART}


def test_a_bad_first_part_is_blamed_once_the_other_parts_differ() -> None:
    history = CrashHistory()
    for number in (1, 2, 3, 4):
        record_prompt_crash(
            history, number, ('bad', 'same' if number < 4 else 'last')
        )
    assert set(history.holds) == {BAD_PART}


def test_a_repeated_request_is_blamed_before_its_parts() -> None:
    history = CrashHistory()
    for number in (1, 2, 3):
        record_crash(history, number, 'deadly', 'part-shared')
    assert set(history.holds) == {DEADLY}
    # Another request with the part crashes a replica as well.
    record_crash(history, 4, 'other', 'part-shared')
    assert set(history.holds) == {SHARED_PART}


def test_a_part_is_not_blamed_for_the_loss_of_a_domain() -> None:
    """All requests on a lost rack share the first part, and none was served."""
    history = CrashHistory()
    for number in range(1, 8):
        at = 10.0 + number / 1000
        record_prompt_crash(history, number, ('shared',), at=at, domain='d1')
    assert not history.holds
    assert history.count_crashes(SHARED_PART) == 1
    record_prompt_crash(history, 8, ('shared',), at=10.1, domain='d2')
    record_prompt_crash(history, 9, ('shared',), at=10.1, domain='d3')
    assert set(history.holds) == {SHARED_PART}
    history.record_served(SHARED_PART, 11.0)
    assert not history.holds


def test_part_names_invented_by_callers_are_bounded() -> None:
    history = CrashHistory()
    for number in range(1, MAX_CRASHES + 20):
        invented = tuple(f'{number:x}{place:x}' for place in range(32))
        record_prompt_crash(
            history, number, invented, ('bad', *invented), invented
        )
    assert len(history.crashes) <= MAX_CRASHES
    assert max(len(crash.runs) for crash in history.crashes) <= MAX_SUSPECTS
    assert set(history.holds) == {BAD_PART}
