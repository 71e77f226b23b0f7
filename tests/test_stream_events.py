"""Streams cut into whole events."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from waywell.connection.event_boundary import EventBoundaryTracker
from waywell.request.stream_events import EventCutter

STREAM = b''.join(
    b'id: %d\ndata: token %d\n\n' % (number, number) for number in range(1, 9)
)


LINE_ENDS = (b'\n', b'\r\n', b'\r')


@given(
    cuts=st.lists(st.integers(0, 2 * len(STREAM)), max_size=12),
    line_end=st.sampled_from(LINE_ENDS),
)
def test_events_are_the_same_however_the_bytes_come(
    cuts: list[int], line_end: bytes
) -> None:
    stream = STREAM.replace(b'\n', line_end)
    cutter = EventCutter()
    edges = [0, *sorted(cuts), len(stream)]
    events = []
    for begin, end in zip(edges, edges[1:], strict=False):
        events.extend(cutter.feed(stream[begin:end]))
    numbers = [one.number for one in events if one.number is not None]
    assert numbers == list(range(1, 9))
    assert b''.join(event.raw for event in events) + cutter.rest == stream
    # Only the second half of a CR LF may come after the last event.
    assert cutter.rest in {b'', b'\n'}
    assert cutter.count_unfinished() == 0
    if line_end == b'\n':
        assert cutter.rest == b''
        assert [event.number for event in events] == list(range(1, 9))


@given(
    cut=st.integers(0, 2 * len(STREAM)),
    line_end=st.sampled_from(LINE_ENDS),
)
def test_a_stream_is_within_an_event_wherever_one_has_begun(
    cut: int, line_end: bytes
) -> None:
    stream = STREAM.replace(b'\n', line_end)[:cut]
    cutter = EventCutter()
    events = cutter.feed(stream)
    ended = sum(one.number is not None for one in events)
    begun = stream.count(b'i')
    assert (cutter.count_unfinished() > 0) == (begun > ended)


@given(pieces=st.lists(st.sampled_from([b'a', b':', b'\r', b'\n', b'id: 1'])))
def test_nothing_is_lost_of_any_stream(pieces: list[bytes]) -> None:
    cutter = EventCutter()
    events = [event for piece in pieces for event in cutter.feed(piece)]
    passed = b''.join(event.raw for event in events)
    assert passed + cutter.rest == b''.join(pieces)


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


def test_a_number_that_no_counter_reaches_is_none() -> None:
    (event,) = EventCutter().feed(b'id: ' + b'9' * 5000 + b'\n\n')
    assert event.number is None


@given(
    cuts=st.lists(st.integers(0, 2 * len(STREAM)), max_size=12),
    end=st.integers(0, 2 * len(STREAM)),
    line_end=st.sampled_from(LINE_ENDS),
)
def test_a_boundary_is_the_same_however_the_bytes_come(
    cuts: list[int], end: int, line_end: bytes
) -> None:
    stream = STREAM.replace(b'\n', line_end)[:end]
    at_once = EventBoundaryTracker()
    at_once.feed(stream)
    in_pieces = EventBoundaryTracker()
    edges = [0, *sorted(cuts), len(stream)]
    for begin, stop in zip(edges, edges[1:], strict=False):
        in_pieces.feed(stream[begin:stop])
    assert in_pieces.is_inside_event == at_once.is_inside_event
    assert in_pieces.has_events == at_once.has_events
    assert at_once.has_events == (stream.count(line_end * 2) > 0)
