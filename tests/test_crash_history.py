"""Which request explains the ends of replicas."""

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


def key(number: int) -> ReplicaKey:
    return ReplicaKey(BoxId(f'b{number}'), Epoch(1))


def note(
    history: CrashHistory, number: int, *names: str, at: float = 0.0
) -> bool:
    """Note an end under requests that had brought nothing."""
    runs = {Fingerprint(name): False for name in names}
    return history.record_crash(key(number), runs, at or float(number))


def test_the_third_end_under_one_request_holds_it_back() -> None:
    history = CrashHistory()
    note(history, 1, 'deadly', 'a', 'b')
    note(history, 2, 'deadly', 'b', 'c')
    assert not history.holds
    assert history.count_crashes(DEADLY) == 2
    note(history, 3, 'deadly', 'c', 'd')
    assert set(history.holds) == {DEADLY}
    hold = history.find_hold(DEADLY, 3.0)
    assert hold == Hold(3, 3.0)
    # What ran beside it was there for it.
    assert not any(history.count_crashes(Fingerprint(one)) for one in 'abcd')


def test_what_was_cut_at_three_ends_beside_it_is_not_held() -> None:
    history = CrashHistory()
    for number in (1, 2, 3):
        note(history, number, 'deadly', 'innocent')
    note(history, 4, 'deadly')
    assert set(history.holds) == {DEADLY}
    note(history, 5, 'innocent', 'deadly')
    assert set(history.holds) == {DEADLY}


@pytest.mark.parametrize('innocent', ['a', 'z'])
def test_of_two_that_were_always_together_the_served_one_is_freed(
    innocent: str,
) -> None:
    history = CrashHistory()
    for number in (1, 2, 3):
        note(history, number, 'deadly', innocent)
    assert len(history.holds) == 1
    history.record_served(Fingerprint(innocent), 4.0)
    assert set(history.holds) == {DEADLY}


def test_the_one_that_had_brought_a_piece_is_the_less_likely() -> None:
    history = CrashHistory()
    for number in (1, 2, 3):
        runs = {Fingerprint('a'): number == 2, DEADLY: False}
        history.record_crash(key(number), runs, float(number))
    assert set(history.holds) == {DEADLY}


def test_two_deadly_requests_are_both_held() -> None:
    history = CrashHistory()
    for number in range(3):
        note(history, number + 1, 'deadly', *('a' if number else ''))
        note(history, number + 11, 'other', *('a' if number else ''))
    assert set(history.holds) == {DEADLY, Fingerprint('other')}


def test_one_more_end_of_each_clears_what_was_at_all_ends_of_two() -> None:
    history = CrashHistory()
    for number in range(3):
        note(history, number + 1, 'deadly', 'a')
        note(history, number + 11, 'other', 'a')
    note(history, 4, 'deadly')
    note(history, 14, 'other')
    assert set(history.holds) == {DEADLY, Fingerprint('other')}


def test_what_others_ask_for_often_is_not_held_when_a_domain_is_lost() -> None:
    """One key gets much of the traffic, so it runs at every lost replica."""
    history = CrashHistory()
    hot = Fingerprint('hot')
    history.record_served(hot, 1.0)
    for number in range(5):
        note(
            history,
            number,
            'hot',
            f'cold-{number}',
            at=1.0 + SERVED_SECONDS / 2,
        )
    assert not history.holds
    assert not history.count_crashes(hot)


def test_what_was_served_long_ago_is_suspected_again() -> None:
    history = CrashHistory()
    history.record_served(DEADLY, 1.0)
    for number in (1, 2, 3):
        note(history, number, 'deadly', at=2.0 * SERVED_SECONDS + number)
    assert set(history.holds) == {DEADLY}


def test_words_of_many_nodes_about_one_end_count_once() -> None:
    history = CrashHistory()
    assert note(history, 1, 'deadly', 'a', at=1.0)
    assert note(history, 1, 'deadly', 'b', at=1.0 + SAME_CRASH_SECONDS / 2)
    assert not note(history, 1, 'deadly', 'a', at=1.0 + SAME_CRASH_SECONDS / 2)
    assert len(history.crashes) == 1
    assert history.count_crashes(DEADLY) == 1
    # The same replica can end again under its name.
    assert note(history, 1, 'deadly', at=1.0 + 2 * SAME_CRASH_SECONDS)
    assert history.count_crashes(DEADLY) == 2


def test_one_end_after_a_hold_is_enough_for_a_longer_one() -> None:
    history = CrashHistory()
    for number in (1, 2, 3):
        note(history, number, 'deadly')
    over = 3.0 + HOLD_SECONDS
    assert history.find_hold(DEADLY, over - 0.1)
    assert history.find_hold(DEADLY, over) is None
    note(history, 4, 'deadly', at=over)
    assert history.holds[DEADLY].expires_at == over + 2 * HOLD_SECONDS
    for number in range(5, 30):
        note(history, number, 'deadly', at=over + number)
    assert history.holds[DEADLY].expires_at == over + 29 + MAX_HOLD_SECONDS


def test_one_end_after_a_hold_that_others_told_is_enough_too() -> None:
    history = CrashHistory()
    history.add_reported_hold(DEADLY, Hold(CRASHES_TO_HOLD, 1.0))
    over = 1.0 + HOLD_SECONDS
    assert history.find_hold(DEADLY, over) is None
    note(history, 1, 'deadly', at=over)
    assert history.find_hold(DEADLY, over) == Hold(CRASHES_TO_HOLD + 1, over)


def test_a_hold_that_others_told_ends_when_the_request_is_served() -> None:
    history = CrashHistory()
    assert history.add_reported_hold(DEADLY, Hold(CRASHES_TO_HOLD, 1.0))
    assert not history.add_reported_hold(DEADLY, Hold(CRASHES_TO_HOLD, 1.0))
    assert history.record_served(DEADLY, 2.0) == CRASHES_TO_HOLD
    assert not history.holds
    # The word of a node that has not heard of it changes nothing.
    assert not history.add_reported_hold(DEADLY, Hold(CRASHES_TO_HOLD, 1.0))


def test_who_knows_the_ends_judges_by_itself() -> None:
    """Others held an innocent request before they knew of a further end."""
    history = CrashHistory()
    for number in (1, 2, 3):
        note(history, number, 'deadly', 'innocent')
    note(history, 4, 'deadly')
    history.add_reported_hold(Fingerprint('innocent'), Hold(3, 3.0))
    assert set(history.holds) == {DEADLY}


def test_a_hold_that_is_judged_otherwise_is_news_once() -> None:
    """As news each time, its word would go round the nodes without end."""
    history = CrashHistory()
    for number in (1, 2, 3):
        note(history, number, 'deadly', 'innocent')
    note(history, 4, 'deadly')
    hold = Hold(3, 3.0)
    history.add_reported_hold(Fingerprint('innocent'), hold)
    assert not history.add_reported_hold(Fingerprint('innocent'), hold)


def test_what_is_remembered_is_bounded() -> None:
    history = CrashHistory()
    for number in (1, 2, 3):
        note(history, number, 'deadly')
    for number in range(4, 2 * MAX_CRASHES):
        note(history, number, f'r{number}')
    many = [f'm{place}' for place in range(2 * MAX_SUSPECTS)]
    note(history, 2 * MAX_CRASHES, *many)
    for number in range(2 * MAX_SERVED):
        history.record_served(Fingerprint(f's{number}'), 1.0)
    for number in range(2 * MAX_REPORTED_HOLDS):
        history.add_reported_hold(Fingerprint(f't{number}'), Hold(3, 1.0))
    assert len(history.crashes) == MAX_CRASHES
    assert max(len(crash.runs) for crash in history.crashes) == MAX_SUSPECTS
    assert len(history.reported_holds) == MAX_REPORTED_HOLDS
    assert len(history._served) == MAX_SERVED
    # Ends that hold a request back are the last to go.
    assert DEADLY in history.holds


def test_old_ends_are_forgotten() -> None:
    history = CrashHistory()
    for number in (1, 2, 3):
        note(history, number, 'deadly')
    history.add_reported_hold(Fingerprint('told'), Hold(3, 1.0))
    history.drop_expired(1.0 + MEMORY_SECONDS)
    assert set(history.holds) == {DEADLY, Fingerprint('told')}
    history.drop_expired(4.0 + MEMORY_SECONDS)
    assert not history.crashes
    assert not history.holds


names = st.sets(st.sampled_from('abcdef'), min_size=1)


@given(st.lists(names, min_size=1, max_size=8), st.randoms())
def test_all_nodes_come_to_the_same_requests(
    ends: list[set[str]],
    random: Random,
) -> None:
    """Whatever the order in which the words of the ends arrive."""
    words = [
        (number, name)
        for number, there in enumerate(ends, 1)
        for name in sorted(there)
    ]
    histories = []
    for _node in range(2):
        history = CrashHistory()
        for number, name in words:
            note(history, number, name)
        histories.append(history)
        random.shuffle(words)
    assert set(histories[0].holds) == set(histories[1].holds)


class House:
    """Replicas before which a deadly request comes among innocent ones."""

    def __init__(self, random: Random, replicas: int) -> None:
        self.random = random
        self.history = CrashHistory()
        self.now = 0.0
        self.deadly_ends = 0
        self.waiting: list[str] = []
        self.refused: list[str] = []
        self._replicas = replicas

    def play_round(self, comers: list[str]) -> None:
        """Let requests run side by side; those that are cut come again."""
        self.now += SAME_CRASH_SECONDS
        places: dict[int, list[str]] = {}
        for name in (*comers, *self.waiting):
            if self.history.find_hold(Fingerprint(name), self.now):
                self.refused.append(name)
            else:
                place = self.random.randrange(self._replicas)
                places.setdefault(place, []).append(name)
        self.waiting = []
        for place, there in places.items():
            if DEADLY in there:
                self.deadly_ends += 1
                self.waiting += [one for one in there if one != DEADLY]
                note(self.history, place, *there, at=self.now)
            else:
                for name in there:
                    self.history.record_served(Fingerprint(name), self.now)


@given(st.randoms(use_true_random=False), st.integers(1, 6))
def test_a_deadly_request_is_found_among_innocent_ones(
    random: Random,
    replicas: int,
) -> None:
    """Even where all meet at one replica, round after round."""
    house = House(random, replicas)
    for number in range(12):
        house.play_round([DEADLY, f'n{number}', f'm{number}'])
    assert house.deadly_ends <= CRASHES_TO_HOLD + 2
    assert set(house.history.holds) == {DEADLY}
    assert not house.waiting


BAD_PART = PromptPart(Trait('part-bad'))
SHARED_PART = PromptPart(Trait('part-shared'))


def note_prompts(
    history: CrashHistory,
    number: int,
    *prompts: tuple[str, ...],
    at: float = 0.0,
    domain: str = '',
) -> None:
    """Note a crash under requests of their own with some shared parts."""
    runs = {
        trait: False
        for place, parts in enumerate(prompts)
        for trait in (f'r{number}-{place}', *(f'part-{one}' for one in parts))
    }
    history.record_crash(key(number), runs, at or float(number), domain)


def test_the_part_that_all_crashes_have_in_common_is_held() -> None:
    history = CrashHistory()
    history.record_served(SHARED_PART, 0.5)
    for number in (1, 2, 3):
        note_prompts(
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
        note_prompts(history, number, ('shared', 'bad'))
    assert set(history.holds) == {BAD_PART}


def test_a_bad_first_part_is_blamed_once_the_others_differ() -> None:
    history = CrashHistory()
    for number in (1, 2, 3, 4):
        note_prompts(
            history, number, ('bad', 'same' if number < 4 else 'last')
        )
    assert set(history.holds) == {BAD_PART}


def test_a_repeated_request_is_blamed_before_its_parts() -> None:
    history = CrashHistory()
    for number in (1, 2, 3):
        note(history, number, 'deadly', 'part-shared')
    assert set(history.holds) == {DEADLY}
    # Another request with the part crashes a replica as well.
    note(history, 4, 'other', 'part-shared')
    assert set(history.holds) == {SHARED_PART}


def test_a_part_is_not_blamed_for_the_loss_of_a_domain() -> None:
    """Before anything was served, all of a lost rack had the first part."""
    history = CrashHistory()
    for number in range(1, 8):
        at = 10.0 + number / 1000
        note_prompts(history, number, ('shared',), at=at, domain='d1')
    assert not history.holds
    assert history.count_crashes(SHARED_PART) == 1
    note_prompts(history, 8, ('shared',), at=10.1, domain='d2')
    note_prompts(history, 9, ('shared',), at=10.1, domain='d3')
    assert set(history.holds) == {SHARED_PART}
    history.record_served(SHARED_PART, 11.0)
    assert not history.holds


def test_names_of_parts_that_callers_invent_are_bounded() -> None:
    history = CrashHistory()
    for number in range(1, MAX_CRASHES + 20):
        invented = tuple(f'{number:x}{place:x}' for place in range(32))
        note_prompts(history, number, invented, ('bad', *invented), invented)
    assert len(history.crashes) <= MAX_CRASHES
    assert max(len(crash.runs) for crash in history.crashes) <= MAX_SUSPECTS
    assert set(history.holds) == {BAD_PART}
