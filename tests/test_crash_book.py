"""Which request explains the ends of replicas."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from waywell.ids import BoxId, Epoch, Fingerprint, PromptPart, Trait
from waywell.quarantine.crash_book import (
    CRASHES_HELD,
    HOLD_SECONDS,
    LONGEST_HOLD,
    MEMORY_SECONDS,
    MERGE_SECONDS,
    MOST_CRASHES,
    MOST_SERVED,
    MOST_SUSPECTS,
    MOST_TOLD,
    SERVED_SECONDS,
    CrashBook,
    Hold,
)
from waywell.version.fleet import ReplicaKey

DEADLY = Fingerprint('deadly')


def key(number: int) -> ReplicaKey:
    return ReplicaKey(BoxId(f'b{number}'), Epoch(1))


def note(book: CrashBook, number: int, *names: str, at: float = 0.0) -> bool:
    """Note an end under requests that had brought nothing."""
    runs = {Fingerprint(name): False for name in names}
    return book.note_crash(key(number), runs, at or float(number))


def test_the_third_end_under_one_request_holds_it_back() -> None:
    book = CrashBook()
    note(book, 1, 'deadly', 'a', 'b')
    note(book, 2, 'deadly', 'b', 'c')
    assert not book.held
    assert book.count_crashes(DEADLY) == 2
    note(book, 3, 'deadly', 'c', 'd')
    assert set(book.held) == {DEADLY}
    hold = book.find_hold(DEADLY, 3.0)
    assert hold == Hold(3, 3.0)
    # What ran beside it was there for it.
    assert not any(book.count_crashes(Fingerprint(one)) for one in 'abcd')


def test_what_was_cut_at_three_ends_beside_it_is_not_held() -> None:
    book = CrashBook()
    for number in (1, 2, 3):
        note(book, number, 'deadly', 'innocent')
    note(book, 4, 'deadly')
    assert set(book.held) == {DEADLY}
    note(book, 5, 'innocent', 'deadly')
    assert set(book.held) == {DEADLY}


@pytest.mark.parametrize('innocent', ['a', 'z'])
def test_of_two_that_were_always_together_the_served_one_is_freed(
    innocent: str,
) -> None:
    book = CrashBook()
    for number in (1, 2, 3):
        note(book, number, 'deadly', innocent)
    assert len(book.held) == 1
    book.note_served(Fingerprint(innocent), 4.0)
    assert set(book.held) == {DEADLY}


def test_the_one_that_had_brought_a_piece_is_the_less_likely() -> None:
    book = CrashBook()
    for number in (1, 2, 3):
        runs = {Fingerprint('a'): number == 2, DEADLY: False}
        book.note_crash(key(number), runs, float(number))
    assert set(book.held) == {DEADLY}


def test_two_deadly_requests_are_both_held() -> None:
    book = CrashBook()
    for number in range(3):
        note(book, number + 1, 'deadly', *('a' if number else ''))
        note(book, number + 11, 'other', *('a' if number else ''))
    assert set(book.held) == {DEADLY, Fingerprint('other')}


def test_one_more_end_of_each_clears_what_was_at_all_ends_of_two() -> None:
    book = CrashBook()
    for number in range(3):
        note(book, number + 1, 'deadly', 'a')
        note(book, number + 11, 'other', 'a')
    note(book, 4, 'deadly')
    note(book, 14, 'other')
    assert set(book.held) == {DEADLY, Fingerprint('other')}


def test_what_others_ask_for_often_is_not_held_when_a_domain_is_lost() -> None:
    """One key gets much of the traffic, so it runs at every lost replica."""
    book = CrashBook()
    hot = Fingerprint('hot')
    book.note_served(hot, 1.0)
    for number in range(5):
        note(
            book, number, 'hot', f'cold-{number}', at=1.0 + SERVED_SECONDS / 2
        )
    assert not book.held
    assert not book.count_crashes(hot)


def test_what_was_served_long_ago_is_suspected_again() -> None:
    book = CrashBook()
    book.note_served(DEADLY, 1.0)
    for number in (1, 2, 3):
        note(book, number, 'deadly', at=2.0 * SERVED_SECONDS + number)
    assert set(book.held) == {DEADLY}


def test_words_of_many_nodes_about_one_end_count_once() -> None:
    book = CrashBook()
    assert note(book, 1, 'deadly', 'a', at=1.0)
    assert note(book, 1, 'deadly', 'b', at=1.0 + MERGE_SECONDS / 2)
    assert not note(book, 1, 'deadly', 'a', at=1.0 + MERGE_SECONDS / 2)
    assert len(book.crashes) == 1
    assert book.count_crashes(DEADLY) == 1
    # The same replica can end again under its name.
    assert note(book, 1, 'deadly', at=1.0 + 2 * MERGE_SECONDS)
    assert book.count_crashes(DEADLY) == 2


def test_one_end_after_a_hold_is_enough_for_a_longer_one() -> None:
    book = CrashBook()
    for number in (1, 2, 3):
        note(book, number, 'deadly')
    over = 3.0 + HOLD_SECONDS
    assert book.find_hold(DEADLY, over - 0.1)
    assert book.find_hold(DEADLY, over) is None
    note(book, 4, 'deadly', at=over)
    assert book.held[DEADLY].until == over + 2 * HOLD_SECONDS
    for number in range(5, 30):
        note(book, number, 'deadly', at=over + number)
    assert book.held[DEADLY].until == over + 29 + LONGEST_HOLD


def test_one_end_after_a_hold_that_others_told_is_enough_too() -> None:
    book = CrashBook()
    book.note_told(DEADLY, Hold(CRASHES_HELD, 1.0))
    over = 1.0 + HOLD_SECONDS
    assert book.find_hold(DEADLY, over) is None
    note(book, 1, 'deadly', at=over)
    assert book.find_hold(DEADLY, over) == Hold(CRASHES_HELD + 1, over)


def test_a_hold_that_others_told_ends_when_the_request_is_served() -> None:
    book = CrashBook()
    assert book.note_told(DEADLY, Hold(CRASHES_HELD, 1.0))
    assert not book.note_told(DEADLY, Hold(CRASHES_HELD, 1.0))
    assert book.note_served(DEADLY, 2.0) == CRASHES_HELD
    assert not book.held
    # The word of a node that has not heard of it changes nothing.
    assert not book.note_told(DEADLY, Hold(CRASHES_HELD, 1.0))


def test_who_knows_the_ends_judges_by_itself() -> None:
    """Others held an innocent request before they knew of a further end."""
    book = CrashBook()
    for number in (1, 2, 3):
        note(book, number, 'deadly', 'innocent')
    note(book, 4, 'deadly')
    book.note_told(Fingerprint('innocent'), Hold(3, 3.0))
    assert set(book.held) == {DEADLY}


def test_a_hold_that_is_judged_otherwise_is_news_once() -> None:
    """As news each time, its word would go round the nodes without end."""
    book = CrashBook()
    for number in (1, 2, 3):
        note(book, number, 'deadly', 'innocent')
    note(book, 4, 'deadly')
    hold = Hold(3, 3.0)
    book.note_told(Fingerprint('innocent'), hold)
    assert not book.note_told(Fingerprint('innocent'), hold)


def test_what_is_remembered_is_bounded() -> None:
    book = CrashBook()
    for number in (1, 2, 3):
        note(book, number, 'deadly')
    for number in range(4, 2 * MOST_CRASHES):
        note(book, number, f'r{number}')
    many = [f'm{place}' for place in range(2 * MOST_SUSPECTS)]
    note(book, 2 * MOST_CRASHES, *many)
    for number in range(2 * MOST_SERVED):
        book.note_served(Fingerprint(f's{number}'), 1.0)
    for number in range(2 * MOST_TOLD):
        book.note_told(Fingerprint(f't{number}'), Hold(3, 1.0))
    assert len(book.crashes) == MOST_CRASHES
    assert max(len(crash.runs) for crash in book.crashes) == MOST_SUSPECTS
    assert len(book.told) == MOST_TOLD
    assert len(book._served) == MOST_SERVED
    # Ends that hold a request back are the last to go.
    assert DEADLY in book.held


def test_old_ends_are_forgotten() -> None:
    book = CrashBook()
    for number in (1, 2, 3):
        note(book, number, 'deadly')
    book.note_told(Fingerprint('told'), Hold(3, 1.0))
    book.forget_old(1.0 + MEMORY_SECONDS)
    assert set(book.held) == {DEADLY, Fingerprint('told')}
    book.forget_old(4.0 + MEMORY_SECONDS)
    assert not book.crashes
    assert not book.held


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
    books = []
    for _node in range(2):
        book = CrashBook()
        for number, name in words:
            note(book, number, name)
        books.append(book)
        random.shuffle(words)
    assert set(books[0].held) == set(books[1].held)


class House:
    """Replicas before which a deadly request comes among innocent ones."""

    def __init__(self, random: Random, replicas: int) -> None:
        self.random = random
        self.book = CrashBook()
        self.now = 0.0
        self.deadly_ends = 0
        self.waiting: list[str] = []
        self.refused: list[str] = []
        self._replicas = replicas

    def play_round(self, comers: list[str]) -> None:
        """Let requests run side by side; those that are cut come again."""
        self.now += MERGE_SECONDS
        places: dict[int, list[str]] = {}
        for name in (*comers, *self.waiting):
            if self.book.find_hold(Fingerprint(name), self.now):
                self.refused.append(name)
            else:
                place = self.random.randrange(self._replicas)
                places.setdefault(place, []).append(name)
        self.waiting = []
        for place, there in places.items():
            if DEADLY in there:
                self.deadly_ends += 1
                self.waiting += [one for one in there if one != DEADLY]
                note(self.book, place, *there, at=self.now)
            else:
                for name in there:
                    self.book.note_served(Fingerprint(name), self.now)


@given(st.randoms(use_true_random=False), st.integers(1, 6))
def test_a_deadly_request_is_found_among_innocent_ones(
    random: Random,
    replicas: int,
) -> None:
    """Even where all meet at one replica, round after round."""
    house = House(random, replicas)
    for number in range(12):
        house.play_round([DEADLY, f'n{number}', f'm{number}'])
    assert house.deadly_ends <= CRASHES_HELD + 2
    assert set(house.book.held) == {DEADLY}
    assert not house.waiting


BAD_PART = PromptPart(Trait('part-bad'))
SHARED_PART = PromptPart(Trait('part-shared'))


def note_prompts(
    book: CrashBook,
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
    book.note_crash(key(number), runs, at or float(number), domain)


def test_the_part_that_all_crashes_have_in_common_is_held() -> None:
    book = CrashBook()
    book.note_served(SHARED_PART, 0.5)
    for number in (1, 2, 3):
        note_prompts(
            book,
            number,
            ('shared', 'bad'),
            ('shared', f'other-{number % 2}'),
            ('shared',),
        )
    assert set(book.held) == {BAD_PART}
    assert book.find_hold(BAD_PART, 3.0) == Hold(3, 3.0)


def test_a_shared_first_part_is_blamed_last() -> None:
    book = CrashBook()
    for number in (1, 2, 3):
        note_prompts(book, number, ('shared', 'bad'))
    assert set(book.held) == {BAD_PART}


def test_a_bad_first_part_is_blamed_once_the_others_differ() -> None:
    book = CrashBook()
    for number in (1, 2, 3, 4):
        note_prompts(book, number, ('bad', 'same' if number < 4 else 'last'))
    assert set(book.held) == {BAD_PART}


def test_a_repeated_request_is_blamed_before_its_parts() -> None:
    book = CrashBook()
    for number in (1, 2, 3):
        note(book, number, 'deadly', 'part-shared')
    assert set(book.held) == {DEADLY}
    # Another request with the part crashes a replica as well.
    note(book, 4, 'other', 'part-shared')
    assert set(book.held) == {SHARED_PART}


def test_a_part_is_not_blamed_for_the_loss_of_a_domain() -> None:
    """Before anything was served, all of a lost rack had the first part."""
    book = CrashBook()
    for number in range(1, 8):
        at = 10.0 + number / 1000
        note_prompts(book, number, ('shared',), at=at, domain='d1')
    assert not book.held
    assert book.count_crashes(SHARED_PART) == 1
    note_prompts(book, 8, ('shared',), at=10.1, domain='d2')
    note_prompts(book, 9, ('shared',), at=10.1, domain='d3')
    assert set(book.held) == {SHARED_PART}
    book.note_served(SHARED_PART, 11.0)
    assert not book.held


def test_names_of_parts_that_callers_invent_are_bounded() -> None:
    book = CrashBook()
    for number in range(1, MOST_CRASHES + 20):
        invented = tuple(f'{number:x}{place:x}' for place in range(32))
        note_prompts(book, number, invented, ('bad', *invented), invented)
    assert len(book.crashes) <= MOST_CRASHES
    assert max(len(crash.runs) for crash in book.crashes) <= MOST_SUSPECTS
    assert set(book.held) == {BAD_PART}
