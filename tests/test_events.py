"""Log lines: complete lines, limited rate, no blocking on a slow reader."""

from __future__ import annotations

import os
from collections.abc import Iterator

import pytest

from waywell.telemetry.events import LineBudget, NonBlockingSink, quote_text

LINE = 'event=x text=' + 'a' * 900 + '\n'


@pytest.fixture
def ends() -> Iterator[tuple[int, int]]:
    """Return the reading and the writing end of a pipe."""
    pipe_ends = os.pipe()
    yield pipe_ends
    for end in pipe_ends:
        os.close(end)


def _read_all(end: int) -> str:
    os.set_blocking(end, False)
    read = b''
    try:
        while piece := os.read(end, 65536):
            read += piece
    except BlockingIOError:
        pass
    return read.decode()


def test_a_slow_reader_gets_the_number_of_lost_lines(
    ends: tuple[int, int],
) -> None:
    reader, writer = ends
    sink = NonBlockingSink(writer)
    while not sink.lost_lines:
        sink(LINE)
    sink(LINE)
    assert sink.lost_lines == 2
    read = _read_all(reader)
    sink('event=next\n')
    lines = (read + _read_all(reader)).splitlines()
    assert lines[-2:] == ['event=lines_lost lines=2', 'event=next']
    # The line that fitted into the pipe only partially is complete, too.
    assert set(lines[:-2]) == {LINE.rstrip()}
    assert sink.lost_lines == 0


def test_a_partially_written_line_is_completed_before_the_next(
    ends: tuple[int, int],
) -> None:
    reader, writer = ends
    sink = NonBlockingSink(writer)
    long_line = 'event=y text=' + 'b' * 200_000 + '\n'
    sink(long_line)
    read = _read_all(reader)
    sink(LINE)
    while len(read) < len(long_line):
        read += _read_all(reader)
        sink('event=z\n')
    read += _read_all(reader)
    assert read.startswith(long_line)
    assert all(
        line.startswith(('event=y', 'event=z', 'event=lines_lost'))
        for line in read.splitlines()
    )


def test_lines_of_an_event_are_limited_in_each_second() -> None:
    budget = LineBudget(2)
    assert [budget.allow('a', 1.1) for _ in range(4)] == [
        True,
        True,
        False,
        False,
    ]
    assert budget.pop_dropped_counts(1.9) == {}
    assert budget.pop_dropped_counts(2.0) == {'a': 2}
    assert budget.allow('a', 2.0)


def test_a_value_can_not_be_mistaken_for_another_pair() -> None:
    assert quote_text('a b="c"\nd') == r'"a b=\"c\"\nd"'
    assert quote_text('plain/word') == 'plain/word'
