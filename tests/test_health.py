"""Evidence against groups, recovery from failures, and probing."""

from __future__ import annotations

from waywell.connection.target import ProbeAnswer
from waywell.health.health import Evidence, HealthTable, Verdict
from waywell.health.prober import ProbeRing, judge_probes
from waywell.ids import BoxId, Epoch, GroupId, HallName, NodeId
from waywell.process.loads import LoadTable, get_load_level
from waywell.version.roster import Group, GroupState, Member

GROUP = GroupId('g')


def make_evidence(
    verdict: Verdict,
    sequence: int,
    epoch: int = 1,
    reporter: str = 'n1',
) -> Evidence:
    return Evidence(GROUP, Epoch(epoch), NodeId(reporter), sequence, verdict)


def is_usable(table: HealthTable, now: float, epoch: int = 1) -> bool:
    return table.is_usable(GROUP, Epoch(epoch), now)


def test_evidence_counts_until_it_expires_or_is_replaced() -> None:
    table = HealthTable(6)
    assert is_usable(table, 0)
    assert table.add_evidence(make_evidence(Verdict.DOWN, 1), 0)
    assert not is_usable(table, 1)
    assert is_usable(table, 7)
    table.add_evidence(make_evidence(Verdict.DOWN, 2), 8)
    assert not is_usable(table, 9)
    table.add_evidence(make_evidence(Verdict.UP, 3), 9)
    assert is_usable(table, 9)


def test_evidence_of_any_prober_counts() -> None:
    table = HealthTable(6)
    table.add_evidence(make_evidence(Verdict.UP, 1, reporter='n1'), 0)
    table.add_evidence(make_evidence(Verdict.DOWN, 1, reporter='n2'), 0)
    assert not is_usable(table, 1)


def test_old_and_repeated_evidence_is_not_new() -> None:
    table = HealthTable(6)
    assert table.add_evidence(make_evidence(Verdict.UP, 5), 0)
    assert not table.add_evidence(make_evidence(Verdict.UP, 5), 0)
    assert not table.add_evidence(make_evidence(Verdict.DOWN, 4), 0)
    assert is_usable(table, 0)


def test_evidence_about_an_earlier_epoch_is_ignored() -> None:
    table = HealthTable(6)
    table.add_evidence(make_evidence(Verdict.DOWN, 1, epoch=1), 0)
    assert not is_usable(table, 1, epoch=1)
    assert is_usable(table, 1, epoch=2)


def test_a_failed_group_regains_its_weight_step_by_step() -> None:
    table = HealthTable(6)
    table.record_start(GROUP)
    table.record_failure(GROUP, 0)
    assert table.get_load(GROUP, 0, 0, 0.1).weight == 0
    weights = []
    for _ in range(5):
        weights.append(table.get_load(GROUP, 0, 0, 10).weight)
        table.record_answer(GROUP, 0.1, 10)
    assert weights == sorted(weights)
    assert weights[0] < 0.5
    assert table.get_load(GROUP, 0, 0, 10).weight == 1


def test_rests_grow_with_repeated_failures() -> None:
    table = HealthTable(6)
    rests = []
    for _ in range(8):
        table.record_failure(GROUP, 0)
        rest = next(
            tenth / 10
            for tenth in range(1, 200)
            if table.get_load(GROUP, 0, 0, tenth / 10).weight > 0
        )
        rests.append(rest)
    assert rests == sorted(rests)
    assert rests[0] == 0.5
    assert rests[-1] == 8.0


def test_a_slow_group_has_a_higher_slowness() -> None:
    table = HealthTable(6)
    names = [GroupId(f'g{number}') for number in range(5)]
    for name in names:
        for _ in range(5):
            table.record_answer(name, 1.0 if name == 'g0' else 0.1, 0)
    typical = table.find_typical_latency(names)
    slow = table.get_load(names[0], 0, typical, 0)
    usual = table.get_load(names[1], 0, typical, 0)
    assert slow.slowness > 5
    assert usual.slowness == 1


def test_slowness_decays_with_time() -> None:
    table = HealthTable(6)
    for _ in range(5):
        table.record_answer(GROUP, 2.0, now=0)
    slowness = [
        table.get_load(GROUP, 0, 0.1, now).slowness for now in (0, 3, 6, 30)
    ]
    assert slowness[0] == 20
    assert slowness == sorted(slowness, reverse=True)
    assert slowness[-1] < 1.1
    table.record_timeout(GROUP, 2.0, now=30)
    assert table.get_load(GROUP, 0, 0.1, 30).slowness == 20


def make_group(boxes: int) -> Group:
    return Group(
        GROUP,
        's',
        'llm',
        Epoch(3),
        GroupState.SERVING,
        HallName('h'),
        tuple(Member(BoxId(f'b{n}'), 'h', 1, 0) for n in range(boxes)),
    )


def test_probe_answers_give_a_verdict() -> None:
    group = make_group(2)
    ordered = ProbeAnswer(BoxId('b0'), GROUP, Epoch(3))
    unready = ProbeAnswer(BoxId('b1'), GROUP, Epoch(3), ready=False)
    unordered = ProbeAnswer(BoxId('b1'))
    cases = [
        ([ordered, ordered], Verdict.UP),
        ([ordered, None], Verdict.DOWN),
        ([ordered, unready], Verdict.DOWN),
        ([ordered, unordered], Verdict.DISORDERED),
    ]
    for answers, verdict in cases:
        assert judge_probes(group, answers, fenced=True)[0] is verdict
    assert (
        judge_probes(group, [ordered, unordered], fenced=False)[0]
        is Verdict.UP
    )


def test_probers_are_spread_evenly_and_change_little() -> None:
    nodes = [NodeId(f'n{number}') for number in range(10)]
    groups = [GroupId(f'g{number}') for number in range(600)]
    ring = ProbeRing(nodes)
    smaller = ProbeRing(nodes[1:])
    counts = dict.fromkeys(nodes, 0)
    moved = 0
    for group in groups:
        probers = ring.list_probers(group)
        assert len(set(probers)) == 2
        for node in probers:
            counts[node] += 1
        if 'n0' not in probers:
            moved += smaller.list_probers(group) != probers
    assert moved == 0
    assert max(counts.values()) < 4 * min(counts.values())


def test_loads_are_reported_when_they_change_level() -> None:
    table = LoadTable()
    table.record_probe(GROUP, 10)
    assert [report[2] for report in table.pop_updates()] == [10]
    table.record_probe(GROUP, 11)
    assert table.pop_updates() == ()
    other = LoadTable()
    other.merge_reports(((GROUP, 1, 10),))
    assert other.pop_updates() == ((GROUP, 1, 10),)
    other.merge_reports(((GROUP, 1, 10),))
    assert other.pop_updates() == ()
    assert other.list_loads() == {GROUP: 10}
    assert get_load_level(0) == 0
