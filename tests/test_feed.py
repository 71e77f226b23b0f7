"""Who reads the platform for a data hall."""

from __future__ import annotations

import msgspec

from tests.test_membership import make_record
from waywell.ids import HallName
from waywell.process.feed import pick_reader

HALL = HallName('h')


def test_the_reader_does_not_depend_on_the_order() -> None:
    records = [make_record(name) for name in 'abcdef']
    assert pick_reader(HALL, records) == pick_reader(HALL, records[::-1])


def test_a_node_with_a_wide_link_reads_before_all_others() -> None:
    records = [make_record(name) for name in 'abcdef']
    for place, record in enumerate(records):
        wide = msgspec.structs.replace(record, link_mbps=200)
        others = records[:place] + records[place + 1 :]
        assert pick_reader(HALL, [*others, wide]) == wide
