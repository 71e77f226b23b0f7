"""Tests of the status and the log after a restore of the store."""

from __future__ import annotations

import pytest

from tests.boxes import make_fleet, make_group
from tests.manual_clock import ManualClock
from waywell.connection.store_era import StoreEra
from waywell.knowledge import era_history
from waywell.knowledge.cluster_view import ClusterView
from waywell.knowledge.era_history import EraHistory
from waywell.process.front_settings import PromiseSettings


class Node:
    """Node with routes and boxes in force, whose log lines are captured."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.clock = ManualClock()
        self.is_holder = True
        self.lines: list[dict[str, object]] = []
        self.cluster = ClusterView(PromiseSettings())
        self.cluster.fleet = make_fleet(*make_group('small.7', 'a', 'b'))
        self.history = EraHistory(
            self.cluster, self.clock, lambda: self.is_holder, lambda: 3
        )
        monkeypatch.setattr(era_history, 'log_warning', self._log)

    def _log(self, event: str, **pairs: object) -> None:
        self.lines.append({'event': event, **pairs})


@pytest.fixture
def node(monkeypatch: pytest.MonkeyPatch) -> Node:
    return Node(monkeypatch)


def test_first_era_has_no_change_time(node: Node) -> None:
    node.cluster.eras.observe(StoreEra(4))
    assert node.history.show() == {
        'store_era': 4,
        'store_era_changes': 0,
        'store_era_since': None,
    }
    assert not node.lines


def test_status_shows_the_time_of_the_era_change(node: Node) -> None:
    node.cluster.eras.observe(StoreEra(4))
    node.clock.now = 86400.5
    node.cluster.eras.observe(StoreEra(5))
    node.clock.now += 9
    node.cluster.eras.observe(StoreEra(5))
    assert node.history.show() == {
        'store_era': 5,
        'store_era_changes': 1,
        'store_era_since': '1970-01-02T00:00:00.500+00:00',
    }


@pytest.mark.parametrize(
    ('is_holder', 'dropped'),
    [(True, 'revisions,lease_term'), (False, 'revisions')],
)
def test_era_change_logs_the_dropped_and_kept_state(
    node: Node,
    *,
    is_holder: bool,
    dropped: str,
) -> None:
    node.is_holder = is_holder
    node.cluster.eras.observe(StoreEra(4))
    node.cluster.eras.observe(StoreEra(5))
    assert node.lines == [
        {
            'event': 'store_era_changed',
            'former': 4,
            'era': 5,
            'dropped': dropped,
            'boxes_kept': 2,
            'groups_kept': 1,
            'routes_kept': 0,
            'holds_kept': 3,
        }
    ]
