"""A claimed request id runs at most once, despite kills and repeats."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from waywell.ids import Incarnation, NodeId, RequestId
from waywell.request.claim import (
    ISSUED_ID_SECONDS,
    MAX_CLAIMS,
    ClaimKey,
    ClaimState,
    ClaimTable,
    make_id_prefix,
    parse_issued_id,
)

HOME = NodeId('home')


def make_key(name: str, account: str = 'a') -> ClaimKey:
    return ClaimKey(account, RequestId(name))


def test_issued_ids_can_be_parsed() -> None:
    prefix = make_id_prefix(HOME, Incarnation(7), 12.9)
    issued = parse_issued_id(RequestId(f'{prefix}x:y'))
    assert issued is not None
    assert (issued.node, issued.incarnation, issued.second) == (HOME, 7, 12)


def test_ids_that_no_entry_box_issued_are_not_parsed() -> None:
    for name in ('abc', 'a:b:c', 'home:7:1:', 'home:x:1:y', 'home:7:-1:y'):
        assert parse_issued_id(RequestId(name)) is None


def test_home_grants_only_ids_of_its_current_incarnation() -> None:
    table = ClaimTable(HOME, Incarnation(7))
    table.change_incarnation(Incarnation(9))
    states = {
        incarnation: table.claim(
            make_key(f'{make_id_prefix(HOME, Incarnation(incarnation), 1)}x'),
            HOME,
            9,
            1.0,
        )
        for incarnation in (7, 9)
    }
    assert states == {7: ClaimState.EXPIRED, 9: ClaimState.GRANTED}


def test_ids_from_the_future_or_too_long_ago_have_expired() -> None:
    table = ClaimTable(HOME, Incarnation(7))
    for second, now in ((100, 50.0), (0, ISSUED_ID_SECONDS + 1)):
        name = f'home:7:{second}:x'
        state = table.claim(make_key(name), HOME, 7, now)
        assert state is ClaimState.EXPIRED


def test_deleted_claims_are_not_granted_again() -> None:
    table = ClaimTable(HOME, Incarnation(7))
    key = make_key('home:7:0:x')
    assert table.claim(key, HOME, 7, 1) is ClaimState.GRANTED
    for now in range(0, int(ISSUED_ID_SECONDS * 4), 100):
        table.forget_expired(now)
        assert table.claim(key, HOME, 7, now) is not ClaimState.GRANTED


def test_full_table_grants_no_claim() -> None:
    table = ClaimTable(HOME, Incarnation(7))
    for number in range(MAX_CLAIMS):
        table.claim(make_key(f'home:7:0:{number}'), HOME, 7, 1)
    state = table.claim(make_key('home:7:0:more'), HOME, 7, 1)
    assert state is ClaimState.FULL
    assert len(table) == MAX_CLAIMS


class ClaimMachine(RuleBasedStateMachine):
    """Submissions through nodes that may be killed at any point."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.incarnation = 1
        self.table = ClaimTable(HOME, Incarnation(1))
        self.runs: dict[ClaimKey, int] = {}
        self.refused: set[ClaimKey] = set()
        self.holders: dict[str, list[ClaimKey]] = {'n1': [], 'n2': []}
        self.incarnations = {'n1': 1, 'n2': 1}
        self.names = ['own:0:0:x']

    @rule()
    def issue(self) -> None:
        prefix = make_id_prefix(HOME, Incarnation(self.incarnation), self.now)
        self.names.append(f'{prefix}{len(self.names)}')

    @rule(
        pick=st.integers(0, 30),
        node=st.sampled_from(['n1', 'n2']),
        account=st.sampled_from('ab'),
    )
    def submit(self, pick: int, node: str, account: str) -> None:
        key = make_key(self.names[pick % len(self.names)], account)
        state = self.table.claim(
            key, NodeId(node), self.incarnations[node], self.now
        )
        if state is ClaimState.GRANTED:
            self.holders[node].append(key)

    @rule(node=st.sampled_from(['n1', 'n2']), settle=st.booleans())
    def run_request(self, node: str, settle: bool) -> None:
        if self.holders[node]:
            key = self.holders[node].pop(0)
            self.runs[key] = self.runs.get(key, 0) + 1
            if settle:
                self.table.settle(key, ClaimState.DONE)

    @rule(node=st.sampled_from(['n1', 'n2']))
    def refuse_request(self, node: str) -> None:
        if self.holders[node]:
            key = self.holders[node].pop(0)
            self.table.settle(key, ClaimState.REFUSED)
            self.refused.add(key)

    @rule(node=st.sampled_from(['n1', 'n2']), detected=st.booleans())
    def kill(self, node: str, detected: bool) -> None:
        self.holders[node] = []
        if detected:
            self.table.mark_holder_lost(NodeId(node), self.incarnations[node])
        self.incarnations[node] += 1

    @rule(node=st.sampled_from(['n1', 'n2']))
    def suspect_wrongly(self, node: str) -> None:
        """The holder is taken for lost but continues to run."""
        self.table.mark_holder_lost(NodeId(node), self.incarnations[node])

    @rule()
    def restart_home(self) -> None:
        self.incarnation += 1
        self.table = ClaimTable(HOME, Incarnation(self.incarnation))

    @rule(seconds=st.sampled_from([1, 100, 899, 901, 2000]))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.table.forget_expired(self.now)

    @invariant()
    def nothing_runs_twice(self) -> None:
        assert all(count == 1 for count in self.runs.values())

    @invariant()
    def nothing_refused_has_run(self) -> None:
        assert not self.refused & set(self.runs)


TestClaimMachine = ClaimMachine.TestCase
