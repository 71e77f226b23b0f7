"""Event streams are split into complete events."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from waywell.connection.event_boundary import EventBoundaryTracker
from waywell.request.stream_events import EventSplitter

STREAM = b''.join(
    b'id: %d\ndata: token %d\n\n' % (number, number) for number in range(1, 9)
)


LINE_ENDS = (b'\n', b'\r\n', b'\r')


@given(
    cuts=st.lists(st.integers(0, 2 * len(STREAM)), max_size=12),
    line_end=st.sampled_from(LINE_ENDS),
)
def test_events_do_not_depend_on_how_the_bytes_arrive(
    cuts: list[int], line_end: bytes
) -> None:
    stream = STREAM.replace(b'\n', line_end)
    splitter = EventSplitter()
    edges = [0, *sorted(cuts), len(stream)]
    events = []
    for begin, end in zip(edges, edges[1:], strict=False):
        events.extend(splitter.feed(stream[begin:end]))
    numbers = [event.number for event in events if event.number is not None]
    assert numbers == list(range(1, 9))
    assert (
        b''.join(event.raw for event in events) + splitter.remainder == stream
    )
    # Only the LF of a final CR LF may remain after the last event.
    assert splitter.remainder in {b'', b'\n'}
    assert splitter.count_unfinished_bytes() == 0
    if line_end == b'\n':
        assert splitter.remainder == b''
        assert [event.number for event in events] == list(range(1, 9))


@given(
    cut=st.integers(0, 2 * len(STREAM)),
    line_end=st.sampled_from(LINE_ENDS),
)
def test_a_begun_event_counts_as_unfinished_until_its_end(
    cut: int, line_end: bytes
) -> None:
    stream = STREAM.replace(b'\n', line_end)[:cut]
    splitter = EventSplitter()
    events = splitter.feed(stream)
    ended = sum(event.number is not None for event in events)
    begun = stream.count(b'i')
    assert (splitter.count_unfinished_bytes() > 0) == (begun > ended)


@given(pieces=st.lists(st.sampled_from([b'a', b':', b'\r', b'\n', b'id: 1'])))
def test_no_bytes_of_a_stream_are_lost(pieces: list[bytes]) -> None:
    splitter = EventSplitter()
    events = [event for piece in pieces for event in splitter.feed(piece)]
    passed = b''.join(event.raw for event in events)
    assert passed + splitter.remainder == b''.join(pieces)


def test_an_incomplete_event_is_kept_as_remainder() -> None:
    splitter = EventSplitter()
    events = splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda')
    assert [event.number for event in events] == [1]
    assert splitter.remainder == b'id: 2\nda'


def test_an_event_without_a_valid_number_has_none() -> None:
    (event,) = EventSplitter().feed(b'data: a\n\n')
    assert event.number is None
    (odd,) = EventSplitter().feed(b'id: x1\n\n')
    assert odd.number is None


def test_a_number_with_too_many_digits_is_ignored() -> None:
    (event,) = EventSplitter().feed(b'id: ' + b'9' * 5000 + b'\n\n')
    assert event.number is None


@given(
    cuts=st.lists(st.integers(0, 2 * len(STREAM)), max_size=12),
    end=st.integers(0, 2 * len(STREAM)),
    line_end=st.sampled_from(LINE_ENDS),
)
def test_a_boundary_does_not_depend_on_how_the_bytes_arrive(
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
