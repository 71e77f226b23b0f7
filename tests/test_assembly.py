"""Group assembly under any order of box events and concurrent writers."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from waywell.ids import BoxId, DomainName, Epoch, GroupId, HallName
from waywell.version.assembly import (
    AssemblyView,
    find_missing_members,
    is_box_list_implausible,
    plan_assembly,
)
from waywell.version.objects import (
    Configuration,
    Goal,
    GroupSet,
    Service,
)
from waywell.version.repair import CostPolicy, SparesOnly, WaitOnly
from waywell.version.roster import (
    Box,
    BoxState,
    Group,
    GroupState,
    Member,
    Roster,
    SharedBoxError,
)
from waywell.version.selector import Selector

BOXES = 9
GOAL = Goal(pause_seconds=2.5, load_seconds=20)


def make_box(number: int, domain: str = 'd0', **changes: object) -> Box:
    box = Box(
        box=BoxId(f'b{number}'),
        hall=HallName('h'),
        domain=DomainName(domain),
        host='127.0.0.1',
        port=1000 + number,
        labels={'pool': 'a'},
    )
    return msgspec.structs.replace(box, **changes)


def make_objects(groups: int = 2, size: int = 2) -> Configuration:
    return Configuration(
        service=[Service('llm'), Service('app', fenced=False)],
        group_set=[
            GroupSet(
                'main',
                'llm',
                Selector(match={'pool': ['a']}),
                boxes_per_group=size,
                groups=groups,
            ),
            GroupSet('plain', 'app', Selector(match={'pool': ['b']})),
        ],
        goal=GOAL,
    )


def settle(
    boxes: list[Box],
    configuration: Configuration,
    roster: Roster | None = None,
    policy: object = None,
    now: float = 0,
    since: float = 0,
) -> Roster:
    """Apply plans until nothing changes; boxes accept orders immediately."""
    current = roster or Roster(0)
    for _ in range(20):
        view = AssemblyView(
            boxes={box.box: box for box in boxes},
            configuration=configuration,
            broken_since=dict.fromkeys(current.groups, since),
            ready=frozenset(current.groups),
        )
        plan = plan_assembly(
            current,
            view,
            policy or CostPolicy(configuration.goal),
            now,
        )
        if not plan:
            return current
        current = current.replace(
            current.number + 1,
            plan.changed,
            plan.removed,
        )
    raise AssertionError('the plans do not converge')


def list_states(roster: Roster) -> list[str]:
    return [group.state.value for group in roster]


def test_groups_are_formed_within_a_domain() -> None:
    boxes = [make_box(n, f'd{n % 2}') for n in range(6)]
    roster = settle(boxes, make_objects(groups=2, size=3))
    assert list_states(roster) == ['serving', 'serving']
    for group in roster:
        domains = {
            box.domain
            for box in boxes
            for member in group.members
            if box.box == member.box
        }
        assert len(domains) == 1


def test_too_few_boxes_in_each_domain_form_no_group() -> None:
    boxes = [make_box(n, f'd{n % 2}') for n in range(4)]
    assert list_states(settle(boxes, make_objects(1, size=3))) == []


def test_a_group_may_span_domains_if_its_set_allows_it() -> None:
    boxes = [make_box(n, f'd{n % 2}') for n in range(4)]
    configuration = make_objects(1, size=3)
    group_set = configuration.group_set[0]
    anywhere = Configuration(
        service=configuration.service,
        group_set=[
            GroupSet(
                group_set.name,
                group_set.service,
                group_set.boxes,
                boxes_per_group=3,
                one_domain=False,
            ),
        ],
    )
    assert list_states(settle(boxes, anywhere)) == ['serving']


@pytest.mark.parametrize(
    ('policy', 'now', 'state'),
    [
        (WaitOnly(), 100, 'broken'),
        (SparesOnly(), 0, 'serving'),
        (CostPolicy(GOAL), 1, 'broken'),
        (CostPolicy(GOAL), 6, 'serving'),
    ],
)
def test_the_policy_decides_when_a_lost_box_is_replaced(
    policy: object, now: float, state: str
) -> None:
    boxes = [make_box(n) for n in range(3)]
    configuration = make_objects(1)
    roster = settle(boxes, configuration)
    lost = next(iter(roster)).members[1].box
    after = [
        msgspec.structs.replace(box, state=BoxState.LOST)
        if box.box == lost
        else box
        for box in boxes
    ]
    repaired = settle(after, configuration, roster, policy, now)
    assert list_states(repaired) == [state]


def test_two_broken_groups_become_one_complete_group() -> None:
    boxes = [make_box(n) for n in range(4)]
    configuration = make_objects(2)
    roster = settle(boxes, configuration)
    lost = {group.members[1].box for group in roster}
    after = [
        msgspec.structs.replace(box, state=BoxState.LOST)
        if box.box in lost
        else box
        for box in boxes
    ]
    repaired = settle(after, configuration, roster, None, now=6)
    assert list_states(repaired) == ['serving']


def test_a_group_with_a_restarted_box_gets_a_higher_epoch() -> None:
    boxes = [make_box(n) for n in range(2)]
    configuration = make_objects(1)
    roster = settle(boxes, configuration)
    before = next(iter(roster)).epoch
    boxes[1] = msgspec.structs.replace(boxes[1], boot=1)
    after = next(iter(settle(boxes, configuration, roster)))
    assert after.state is GroupState.SERVING
    assert after.epoch > before


def test_a_paused_box_returns_to_its_unchanged_group() -> None:
    boxes = [make_box(n) for n in range(3)]
    configuration = make_objects(1)
    roster = settle(boxes, configuration)
    served = next(iter(roster))
    away = [
        msgspec.structs.replace(box, state=BoxState.LOST)
        if box.box == served.members[1].box
        else box
        for box in boxes
    ]
    broken = settle(away, configuration, roster, now=1)
    assert list_states(broken) == ['broken']
    back = next(iter(settle(boxes, configuration, broken, now=2)))
    assert back.state is GroupState.SERVING
    assert (back.epoch, back.members) == (served.epoch, served.members)


@pytest.mark.parametrize(
    ('gone', 'down', 'is_implausible'),
    [
        (set(), set(), False),
        ({0}, set(), False),
        ({0, 1, 2}, set(), True),
        ({0, 1, 2, 3}, set(), True),
        ({0, 1, 2}, {0, 1}, False),
        ({0, 1}, set(), False),
    ],
)
def test_a_list_that_lacks_most_boxes_is_implausible(
    gone: set,
    down: set,
    is_implausible: bool,
) -> None:
    boxes = [make_box(n) for n in range(4)]
    roster = settle(boxes, make_objects(4, size=1))
    groups = list(roster)
    lost = {groups[number].head.box for number in gone}
    listed = {box.box: box for box in boxes if box.box not in lost}
    down_groups = {groups[number].group for number in down}
    assert (
        is_box_list_implausible(roster, listed, down_groups) is is_implausible
    )


def test_a_half_formed_group_is_formed_again() -> None:
    boxes = {f'b{n}': make_box(n) for n in range(2)}
    configuration = make_objects(1)
    roster = Roster(0)
    epochs = []
    for state in (BoxState.LIVE, BoxState.LOST, BoxState.LIVE):
        boxes['b1'] = msgspec.structs.replace(boxes['b1'], state=state)
        view = AssemblyView(boxes, configuration, {})
        plan = plan_assembly(roster, view, WaitOnly(), 0)
        number = roster.number + 1
        roster = roster.replace(number, plan.changed, plan.removed)
        epochs.append(next(iter(roster)).epoch)
    assert list_states(roster) == ['forming']
    assert epochs == [1, 1, 3]


def test_a_roster_rejects_a_box_in_two_groups() -> None:
    member = Member(BoxId('b'), 'h', 1, 0)
    groups = [
        Group(
            GroupId(name),
            's',
            'x',
            Epoch(1),
            GroupState.SERVING,
            HallName('h'),
            (member,),
        )
        for name in ('g1', 'g2')
    ]
    with pytest.raises(SharedBoxError):
        Roster(1, groups)


class _Assembler:
    """An assembler with its own, possibly outdated, view."""

    def __init__(self) -> None:
        self.base = Roster(0)
        self.version = 0
        self.boxes: dict[BoxId, Box] = {}


class AssemblyMachine(RuleBasedStateMachine):
    """Runs concurrent assemblers while boxes change and answers get lost."""

    def __init__(self) -> None:
        super().__init__()
        self.boxes = {f'b{n}': make_box(n, f'd{n % 2}') for n in range(BOXES)}
        for number in range(7, BOXES):
            name = f'b{number}'
            self.boxes[name] = make_box(number, labels={'pool': 'b'})
        self.stored = Roster(0)
        self.version = 0
        self.configuration = make_objects()
        self.assemblers = [_Assembler(), _Assembler()]
        self.now = 0.0
        self.epochs: dict[str, int] = {}
        self.targets: dict[str, tuple[int, str]] = {}
        self.routable: dict[str, set[str]] = {}

    @rule(
        number=st.integers(0, BOXES - 1),
        state=st.sampled_from(list(BoxState)),
        reboot=st.booleans(),
    )
    def change_box(self, number: int, state: BoxState, reboot: bool) -> None:
        name = f'b{number}'
        box = self.boxes[name]
        boot = box.boot + (1 if reboot else 0)
        self.boxes[name] = msgspec.structs.replace(box, state=state, boot=boot)

    @rule(number=st.integers(0, BOXES - 1), pool=st.sampled_from('ab'))
    def relabel(self, number: int, pool: str) -> None:
        name = f'b{number}'
        self.boxes[name] = msgspec.structs.replace(
            self.boxes[name],
            labels={'pool': pool},
        )

    @rule(groups=st.integers(0, 3), size=st.integers(1, 3))
    def change_configuration(self, groups: int, size: int) -> None:
        self.configuration = make_objects(groups, size)

    @rule(which=st.integers(0, 1), with_boxes=st.booleans())
    def read(self, which: int, with_boxes: bool) -> None:
        assembler = self.assemblers[which]
        assembler.base = self.stored
        assembler.version = self.version
        if with_boxes:
            assembler.boxes = dict(self.boxes)

    @rule(which=st.integers(0, 1), is_answer_lost=st.booleans())
    def plan_and_write(self, which: int, is_answer_lost: bool) -> None:
        """Write to the version that was read, which may be outdated."""
        assembler = self.assemblers[which]
        view = AssemblyView(
            boxes=assembler.boxes,
            configuration=self.configuration,
            broken_since={},
            released=frozenset(
                name
                for name in assembler.base.groups
                if not self.routable.get(name)
            ),
            ready=frozenset(self.list_ready(assembler.base)),
        )
        policy = CostPolicy(GOAL)
        plan = plan_assembly(assembler.base, view, policy, self.now)
        self.now += 3
        if not plan or assembler.version != self.version:
            return
        planned = assembler.base.replace(
            assembler.base.number + 1,
            plan.changed,
            plan.removed,
        )
        self.stored = planned
        self.version += 1
        if not is_answer_lost:
            assembler.base = planned
            assembler.version = self.version

    @rule()
    def send_orders(self) -> None:
        """Send the orders of each assembler's roster, even an outdated one."""
        for assembler in self.assemblers:
            for group in assembler.base:
                if group.state is GroupState.FORMING:
                    for member in group.members:
                        self.accept_order(member.box, group)

    @rule()
    def route(self) -> None:
        """Let nodes start to route to unfenced groups that serve."""
        for group in self.stored:
            if group.service == 'app' and group.state is GroupState.SERVING:
                boxes = self.routable.setdefault(group.group, set())
                boxes.update(member.box for member in group.members)

    @rule()
    def stop_routing(self) -> None:
        """Let every node apply the stored roster."""
        for name in tuple(self.routable):
            group = self.stored.groups.get(GroupId(name))
            if group is None or group.state is not GroupState.SERVING:
                self.routable.pop(name)

    def accept_order(self, box: str, group: Group) -> None:
        epoch, _ = self.targets.get(box, (0, ''))
        if group.epoch >= epoch:
            self.targets[box] = (group.epoch, group.group)

    def list_ready(self, roster: Roster) -> list[GroupId]:
        return [
            group.group
            for group in roster
            if group.service == 'app'
            or all(
                self.targets.get(member.box) == (group.epoch, group.group)
                for member in group.members
            )
        ]

    @invariant()
    def epochs_only_rise(self) -> None:
        for group in self.stored:
            assert group.epoch >= self.epochs.get(group.group, 0)
            self.epochs[group.group] = group.epoch

    @invariant()
    def no_box_serves_two_groups(self) -> None:
        served: dict[str, str] = {}
        for group in self.stored:
            if group.state is GroupState.SERVING:
                for member in group.members:
                    assert served.setdefault(member.box, group.group)
                    assert served[member.box] == group.group

    @invariant()
    def unfenced_boxes_are_not_reassigned_while_routable(self) -> None:
        for name, boxes in self.routable.items():
            for box in boxes:
                holder = self.stored.find_holder(BoxId(box))
                assert holder in {None, name} or not boxes
                assert holder == name

    @invariant()
    def a_plan_with_a_current_view_serves_only_complete_groups(self) -> None:
        view = AssemblyView(self.boxes, self.configuration, {})
        plan = plan_assembly(self.stored, view, WaitOnly(), self.now)
        planned = self.stored.replace(
            self.stored.number + 1,
            plan.changed,
            plan.removed,
        )
        for group in planned:
            if group.state is GroupState.SERVING:
                assert find_missing_members(group, self.boxes) == ()


TestAssemblyMachine = AssemblyMachine.TestCase
