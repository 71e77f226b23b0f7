"""Sums of the requests in flight that other entry boxes report."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from tests.boxes import make_life
from waywell.ids import BoxId, NodeId
from waywell.request.shared_loads import REPORT_LIFETIME_SECONDS, SharedLoads

NODES = st.sampled_from([NodeId(name) for name in 'abcd'])
LOADS = st.dictionaries(
    st.sampled_from([make_life(name) for name in 'xyz']), st.integers(1, 9)
)
STEPS = st.lists(st.tuples(NODES, LOADS, st.sampled_from([0.1, 0.9, 2.0])))


@given(STEPS, NODES)
def test_total_is_the_sum_of_unexpired_reports(
    steps: list[tuple[NodeId, dict[BoxId, int], float]],
    excluded: NodeId,
) -> None:
    shared = SharedLoads()
    reports: dict[NodeId, tuple[dict[BoxId, int], float]] = {}
    now = 0.0
    for node, loads, pause in steps:
        now += pause
        shared.update(node, loads, now)
        reports[node] = (loads, now)
        fresh = {
            name: reported
            for name, (reported, at) in reports.items()
            if now - at <= REPORT_LIFETIME_SECONDS
        }
        total: Counter[BoxId] = Counter()
        others: Counter[BoxId] = Counter()
        for name, reported in fresh.items():
            total.update(reported)
            others.update(reported if name != excluded else {})
        assert shared.list_nodes() == set(fresh)
        assert {box: shared.get(box) for box in total} == dict(total)
        assert +shared.sum_loads((excluded,)) == others
