"""Streams cut into whole events."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from waywell.request.stream_events import EventCutter

STREAM = b''.join(
    b'id: %d\ndata: token %d\n\n' % (number, number) for number in range(1, 9)
)


@given(cuts=st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_events_are_the_same_however_the_bytes_come(cuts: list[int]) -> None:
    cutter = EventCutter()
    edges = [0, *sorted(cuts), len(STREAM)]
    events = []
    for begin, end in zip(edges, edges[1:], strict=False):
        events.extend(cutter.feed(STREAM[begin:end]))
    assert [event.number for event in events] == list(range(1, 9))
    assert b''.join(event.raw for event in events) == STREAM
    assert cutter.rest == b''


def test_half_an_event_is_kept_back() -> None:
    cutter = EventCutter()
    events = cutter.feed(b'id: 1\ndata: a\n\nid: 2\nda')
    assert [event.number for event in events] == [1]
    assert cutter.rest == b'id: 2\nda'


def test_an_event_without_a_number_has_none() -> None:
    (event,) = EventCutter().feed(b'data: a\n\n')
    assert event.number is None
    (odd,) = EventCutter().feed(b'id: x1\n\n')
    assert odd.number is None
