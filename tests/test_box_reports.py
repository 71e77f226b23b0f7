"""Decoding of the reports of boxes."""

from __future__ import annotations

import pytest

from tests.boxes import make_box
from waywell.platform.orders import decode_report
from waywell.version.box_report import SLOW_PACE
from waywell.version.fleet import MemberState


def test_a_report_shows_whether_a_box_is_slow() -> None:
    box = make_box('a')
    assert not decode_report(box, b'{"running":3,"pace":1.2}').is_slow()
    assert decode_report(box, b'{"pace":5.5}').is_slow()
    assert decode_report(box, b'{"pace":%r}' % SLOW_PACE).is_slow()


def test_a_report_holds_the_standing_and_the_number_of_orders() -> None:
    raw = (
        b'{"seq_no":4,"group":{"name":"small.7","epoch":7,"rank":1,'
        b'"state":"ready"}}'
    )
    report = decode_report(make_box('a'), raw)
    assert report.orders_begun == 4
    assert report.standing is not None
    assert report.standing.group == 'small.7'
    assert report.standing.epoch == 7
    assert report.standing.state is MemberState.READY


def test_a_report_of_a_box_without_a_group_has_no_standing() -> None:
    for raw in (
        b'{"seq_no":2}',
        b'{"seq_no":2,"group":{"name":"","epoch":0}}',
    ):
        report = decode_report(make_box('a'), raw)
        assert (report.orders_begun, report.standing) == (2, None)


def test_an_unreadable_report_matches_only_a_box_that_got_no_order() -> None:
    raw = b'{"seq_no":4,"group":{"name":"g","epoch":7,"state":"new word"}}'
    assert decode_report(make_box('a'), raw).orders_begun == 0


@pytest.mark.parametrize('raw', [b'', b'{}', b'{"pace":"x"}', b'[1]'])
def test_an_unreadable_report_still_shows_that_the_box_is_alive(
    raw: bytes,
) -> None:
    assert not decode_report(make_box('a'), raw).is_slow()
