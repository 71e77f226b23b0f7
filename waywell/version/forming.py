"""Which orders bring the groups closer to what should stand.

The groups are read off the boxes; nothing but the epoch is kept elsewhere, so
a new holder of the duty, or one after all nodes were restarted, adopts what
stands.  Three rules hold for each order:

- A box joins a group only when its former group is known not to serve: it is
  ready or broken, or its head has left it, is gone, or must have given up.
- A group is opened only when each of its boxes has told that it is ready
  under the group's name and epoch.
- Loads from the weight store keep its pace.
"""

from __future__ import annotations

import enum
import math
from collections import Counter, defaultdict, deque
from collections.abc import Mapping
from types import MappingProxyType
from typing import TYPE_CHECKING

import attrs

from waywell.ids import (
    BoxId,
    DomainName,
    Epoch,
    GroupId,
    ModelName,
    ServiceName,
)
from waywell.version.fleet import (
    Fleet,
    FleetBox,
    FleetGroup,
    MemberState,
    name_group,
    parse_group,
)
from waywell.version.orders import (
    Assignment,
    BoxOrder,
    Close,
    Join,
    Leave,
    Open,
    Stage,
)
from waywell.version.routes import Engine

if TYPE_CHECKING:
    from waywell.version.routes import EngineModel

PENDING_SECONDS = 2.5
"""For which an order that was sent is waited for in the box list: two
heartbeats."""

GATHER_SECONDS = 4.0
"""For which boxes that were ordered into a group may not show it yet."""

LATE_SECONDS = 15.0
"""For which an order without an answer may still be carried out."""

LOAD_PATIENCE = 3.0
"""Times a load's usual length after which a box that still loads is given
up."""

REJOIN_SECONDS = 0.2
"""To join with the model that the box served last."""

LEAST_DEMAND = 5.0
"""Places taken by callers from which on the models' demand is measured and
not guessed from the operators' shares of the boxes."""

CONVERT_LOAD = 0.45
"""Part of a model's places taken from which on boxes that served another model
are made into a group of it.  A box keeps the weights of one model only beside
the one that it serves, so each change loses a choice for later."""

RECLAIM_LOAD = 0.6
"""Part of a model's places taken from which on it gets groups of another:
above it, requests begin to wait for places of their group."""

RECLAIM_RATIO = 1.5
"""How much less the giving model's places must be taken afterwards, so that
groups do not go back and forth."""

PACE_SHARE = 0.9
"""Part of the weight store's pace that is used; the rest covers loads that a
former holder began."""


class Verdict(enum.Enum):
    """What is to be done about a group."""

    SERVING = 'serving'
    """Nothing: it serves whole."""

    UNDER_WAY = 'under_way'
    """Nothing yet: it forms, closes, or may still serve somewhere."""

    READY = 'ready'
    """It is to be opened."""

    CLOSE = 'close'
    """It is to finish its work: a member leaves."""

    HEADLESS = 'headless'
    """Its head is lost; the others are to leave it at once."""

    BREAK = 'break'
    """It has lost a member; the head is to leave it at once."""

    FREE = 'free'
    """It serves nowhere; its boxes may join others."""


@attrs.frozen
class FormingGroup:
    """A group whose joins were ordered by this holder."""

    members: tuple[BoxId, ...]
    """Its members."""

    begun_at: float
    """When, in seconds."""


@attrs.define
class FormingMemory:
    """What the holder of the duty remembers between plans."""

    next_epoch: int = 1
    """Epoch of the next group."""

    first_epoch: int = 0
    """First epoch of this holder; what others ordered of older groups is not
    known, so these are not opened but formed anew."""

    pending: dict[BoxId, tuple[BoxOrder, float]] = attrs.Factory(dict)
    """Orders whose effect is not seen yet, with when they were sent."""

    forming: dict[GroupId, FormingGroup] = attrs.Factory(dict)
    """Groups that were ordered."""

    seen_at: dict[GroupId, float] = attrs.Factory(dict)
    """When a group was first seen in its present trouble."""

    heads: dict[GroupId, FleetBox] = attrs.Factory(dict)
    """Heads of groups that served, as they were last listed."""

    opened: set[GroupId] = attrs.Factory(set)
    """Groups that this holder ordered to open."""

    abandoned: dict[GroupId, float] = attrs.Factory(dict)
    """Groups whose members were ordered elsewhere, with when that was.  Such
    an order may be carried out seconds later, so they are never opened."""

    settled: set[GroupId] = attrs.Factory(set)
    """Groups whose head is known to be gone or to have left."""

    began_empty: bool = False
    """Whether this holder saw the very first start: then loads keep no pace
    until callers come."""

    loads: deque[float] = attrs.Factory(deque)
    """When loads were begun, in seconds."""

    lost: dict[BoxId, float] = attrs.Factory(dict)
    """Boxes that gave no sign of life although they are listed, with when
    they were last asked."""

    last_models: dict[BoxId, ModelName] = attrs.Factory(dict)
    """Model that each box served last."""

    staging: dict[BoxId, tuple[ModelName, float]] = attrs.Factory(dict)
    """Models that boxes load beside all else, with when that began."""


@attrs.frozen
class FormingView:
    """What a plan is made of."""

    service: ServiceName
    """Service whose groups are planned."""

    engine: Engine
    """Its engines."""

    fleet: Fleet
    """The box list."""

    demand: Mapping[ModelName, float]
    """Work that callers ask of each model, in places."""


@attrs.frozen
class FormingSummary:
    """How the groups of a service stand, for logs."""

    groups: Mapping[str, int] = MappingProxyType({})
    """Groups by model and verdict."""

    idle: Mapping[DomainName, int] = MappingProxyType({})
    """Boxes that are in no group, by fabric domain."""


class FormingPlanner:
    """Plans for one service.

    Parameters
    ----------
    view
        What is known.
    memory
        What the holder remembers; changed by the plan.
    now
        The present time, in seconds.
    """

    def __init__(
        self,
        view: FormingView,
        memory: FormingMemory,
        now: float,
    ) -> None:
        """Plan nothing yet."""
        self._view = view
        self._memory = memory
        self._now = now
        self._assignments: list[Assignment] = []
        self.summary = FormingSummary()
        self._standing: Counter[ModelName] = Counter()
        self._boxes = [
            box
            for box in view.fleet.boxes.values()
            if box.service == view.service
        ]
        self._groups = [
            group
            for group in view.fleet.groups.values()
            if group.service == view.service
        ]

    def plan(self) -> list[Assignment]:
        """Return the orders to give now."""
        self._forget_seen()
        self._note_models()
        verdicts = {group.group: self._judge(group) for group in self._groups}
        for group in self._groups:
            self._act(group, verdicts[group.group])
        self._count_forming()
        free = self._list_free(verdicts)
        self.summary = FormingSummary(
            Counter(
                f'{parse_group(group)}.{verdict.value}'
                for group, verdict in verdicts.items()
            ),
            {domain: len(boxes) for domain, boxes in free.items() if boxes},
        )
        if self._is_first_start():
            self._memory.began_empty = True
            self._form(free, takes_loads=True)
            return self._assignments
        if self._memory.began_empty and not self._has_callers():
            self._form(free, takes_loads=True)
            self._stage_seconds()
            return self._assignments
        left = self._form(free, takes_loads=False)
        self._reclaim(left, verdicts)
        self._stage(left)
        return self._assignments

    def _forget_seen(self) -> None:
        """Drop what was waited for and is seen, or was waited for in vain."""
        memory = self._memory
        for name, (order, sent_at) in tuple(memory.pending.items()):
            box = self._view.fleet.boxes.get(name)
            if self._now - sent_at > PENDING_SECONDS:
                memory.pending.pop(name)
            elif box is not None and _shows(box, order):
                memory.pending.pop(name)
        present = {group.group for group in self._groups}
        for group, forming in tuple(memory.forming.items()):
            late = self._now - forming.begun_at > GATHER_SECONDS
            if late and group not in present:
                memory.forming.pop(group)
        for group in tuple(memory.seen_at):
            if group not in present:
                memory.seen_at.pop(group)
        for group in tuple(memory.heads):
            if group not in present:
                memory.heads.pop(group)
        memory.settled &= present
        memory.opened &= present
        self._forget_staging()
        for group, at in tuple(memory.abandoned.items()):
            if group not in present and self._now - at > LATE_SECONDS:
                memory.abandoned.pop(group)

    def _forget_staging(self) -> None:
        """Drop the stagings that are done, or that take too long."""
        for name, (model, begun_at) in tuple(self._memory.staging.items()):
            box = self._view.fleet.boxes.get(name)
            known = self._view.engine.find_model(model)
            longest = LOAD_PATIENCE * known.load_seconds if known else 0.0
            late = self._now - begun_at > longest
            if box is None or late or model in box.staged:
                self._memory.staging.pop(name)

    def _judge(self, group: FleetGroup) -> Verdict:
        """Return what is to be done about a group."""
        model = self._view.engine.find_model(parse_group(group.group))
        if model is None:
            return self._judge_unwanted(group)
        leaving = any(member.leaving for member in group.members)
        whole = len(group.members) == model.boxes_per_group
        if whole and not leaving:
            return self._judge_whole(group, model)
        if whole:
            return self._judge_unwanted(group)
        return self._judge_incomplete(group)

    def _judge_whole(self, group: FleetGroup, model: EngineModel) -> Verdict:
        state = _get_head_state(group)
        if state is MemberState.OPEN:
            self._memory.seen_at.pop(group.group, None)
            self._memory.heads[group.group] = group.members[0]
            return Verdict.SERVING
        if state is MemberState.CLOSING:
            return Verdict.UNDER_WAY
        if state is MemberState.BROKEN:
            return Verdict.FREE
        if group.is_in(MemberState.READY):
            known = group.epoch >= self._memory.first_epoch
            abandoned = group.group in self._memory.abandoned
            if known and not abandoned:
                return Verdict.READY
            return self._judge_closed(group)
        if group.is_in(MemberState.READY, MemberState.JOINING):
            seen = self._memory.seen_at.setdefault(group.group, self._now)
            patience = LOAD_PATIENCE * model.load_seconds + GATHER_SECONDS
            late = self._now - seen > patience
            return self._judge_closed(group) if late else Verdict.UNDER_WAY
        return self._judge_closed(group)

    def _judge_closed(self, group: FleetGroup) -> Verdict:
        """Judge a group that no box shows to serve.

        An order to open it that this holder or another gave may still take
        effect, also seconds later; it can't any more once the head has left.
        """
        own = group.epoch >= self._memory.first_epoch
        if own and group.group not in self._memory.opened:
            return Verdict.FREE
        return Verdict.BREAK

    def _judge_unwanted(self, group: FleetGroup) -> Verdict:
        """Judge a whole group that is to end in good order."""
        state = _get_head_state(group)
        if state is MemberState.OPEN:
            return Verdict.CLOSE
        if state is MemberState.CLOSING:
            return Verdict.UNDER_WAY
        if state is MemberState.BROKEN:
            return Verdict.FREE
        return self._judge_closed(group)

    def _judge_incomplete(self, group: FleetGroup) -> Verdict:
        """Judge a group some of whose members are not on the list."""
        seen = self._memory.seen_at.setdefault(group.group, self._now)
        waited = self._now - seen
        if self._is_gathering(group):
            return Verdict.UNDER_WAY
        head = group.head
        if head is None:
            return self._judge_headless(group)
        state = _get_head_state(group)
        if state in {MemberState.OPEN, MemberState.CLOSING}:
            return Verdict.BREAK
        if state is MemberState.JOINING and waited < GATHER_SECONDS:
            return Verdict.UNDER_WAY
        if state is MemberState.BROKEN:
            return Verdict.FREE
        return self._judge_closed(group)

    def _judge_headless(self, group: FleetGroup) -> Verdict:
        """Judge a group whose head is not listed, but may still serve.

        It may be cut off from the platform only, for any time, so the
        others stay with it until each has left.
        """
        if group.group in self._memory.settled:
            return Verdict.FREE
        return Verdict.HEADLESS

    def _is_gathering(self, group: FleetGroup) -> bool:
        """Answer whether its other members may only not show it yet."""
        forming = self._memory.forming.get(group.group)
        if forming is None:
            return False
        if self._now - forming.begun_at > GATHER_SECONDS:
            return False
        boxes = self._view.fleet.boxes
        return all(
            name in boxes and not boxes[name].leaving
            for name in forming.members
        )

    def _act(self, group: FleetGroup, verdict: Verdict) -> None:
        """Give the orders that a verdict asks for."""
        if verdict is Verdict.HEADLESS:
            self._dissolve(group)
        head = group.head
        if head is None:
            return
        if verdict is Verdict.READY:
            self._assign(head, Open(group.group, group.epoch))
            self._memory.opened.add(group.group)
        elif verdict is Verdict.CLOSE:
            self._assign(head, Close(group.group, group.epoch))
        elif verdict is Verdict.BREAK:
            self._assign(head, Leave(group.group, group.epoch))
        if verdict in {Verdict.SERVING, Verdict.READY, Verdict.UNDER_WAY}:
            self._standing[parse_group(group.group)] += 1

    def _dissolve(self, group: FleetGroup) -> None:
        """Let the members leave a group whose head is lost.

        The head is told as well: it may live and serve, cut off from the
        platform only.
        """
        leave = Leave(group.group, group.epoch)
        head = self._memory.heads.get(group.group)
        if head is not None:
            self._assign(head, leave)
        for member in group.members:
            self._assign(member, leave)

    def _count_forming(self) -> None:
        """Count the groups that no box shows yet."""
        present = {group.group for group in self._groups}
        for name in self._memory.forming:
            if name not in present:
                self._standing[parse_group(name)] += 1

    def _assign(self, box: FleetBox, order: BoxOrder) -> bool:
        """Give an order, unless one is open; answer whether it is given."""
        if box.box in self._memory.pending:
            return False
        self._memory.pending[box.box] = (order, self._now)
        self._assignments.append(Assignment(box, order))
        return True

    def _order_stage(self, box: FleetBox, model: EngineModel) -> None:
        if self._assign(box, Stage(model.name)):
            self._memory.staging[box.box] = (model.name, self._now)
            self._memory.loads.append(self._now)

    def _note_models(self) -> None:
        """Remember which model each box served last.

        Its entry does not tell any more once it has left its group, but it
        joins a group of the same model at once.
        """
        last = self._memory.last_models
        for box in self._boxes:
            standing = box.standing
            if standing and standing.state is not MemberState.JOINING:
                last[box.box] = parse_group(standing.group)
        for name in tuple(last):
            if name not in self._view.fleet.boxes:
                last.pop(name)

    def _served(self, box: FleetBox, model: EngineModel) -> bool:
        """Answer whether a model is the one that a box served last."""
        return self._memory.last_models.get(box.box) == model.name

    def _holds(self, box: FleetBox, model: EngineModel) -> bool:
        """Answer whether a box can join a group of a model without a load."""
        return self._served(box, model) or model.name in box.staged

    def _estimate(self, box: FleetBox, model: EngineModel) -> float:
        """Return the seconds until a box is ready in a group of a model."""
        if self._served(box, model):
            return REJOIN_SECONDS
        if model.name in box.staged:
            return model.warm_seconds
        return model.load_seconds

    def _get_time(self, boxes: list[FleetBox], model: EngineModel) -> float:
        return max(self._estimate(box, model) for box in boxes)

    def _pick_fastest(
        self,
        boxes: list[FleetBox],
        model: EngineModel,
        takes_loads: bool,
        converts: bool,
    ) -> list[FleetBox]:
        """Return the boxes that make up a group soonest, or none.

        Parameters
        ----------
        boxes
            Boxes of one domain that may join.
        model
            Model of the group.
        takes_loads
            Whether they may load its weights.
        converts
            Whether a group may be made up of boxes none of which served it
            last; they lose the model that they did serve.
        """
        fit = [box for box in boxes if takes_loads or self._holds(box, model)]
        if not converts and not any(self._served(box, model) for box in fit):
            return []
        fit.sort(key=lambda box: (self._estimate(box, model), box.box))
        size = model.boxes_per_group
        return fit[:size] if len(fit) >= size else []

    def _list_free(
        self,
        verdicts: Mapping[GroupId, Verdict],
    ) -> dict[DomainName, list[FleetBox]]:
        """Return the boxes that may join a group, by fabric domain."""
        held = {
            name
            for forming in self._memory.forming.values()
            for name in forming.members
            if self._now - forming.begun_at <= GATHER_SECONDS
        }
        free: dict[DomainName, list[FleetBox]] = defaultdict(list)
        for box in self._boxes:
            standing = box.standing
            if box.leaving or box.box in self._memory.pending:
                continue
            if standing is not None:
                if verdicts.get(standing.group) is not Verdict.FREE:
                    continue
            elif box.box in held:
                continue
            free[box.domain].append(box)
        return free

    def _is_first_start(self) -> bool:
        """Answer whether no box has ever loaded anything.

        Then no request has come yet, and loads keep no pace.
        """
        return not any(box.staged or box.standing for box in self._boxes)

    def _form(
        self,
        free: dict[DomainName, list[FleetBox]],
        takes_loads: bool,
    ) -> dict[DomainName, list[FleetBox]]:
        """Form groups, that of the greatest need first."""
        while True:
            best = self._find_best(free, takes_loads)
            if best is None:
                return free
            model, boxes = best
            self._join(model, boxes)
            domain = boxes[0].domain
            taken = {box.box for box in boxes}
            free[domain] = [
                box for box in free[domain] if box.box not in taken
            ]

    def _find_best(
        self,
        free: Mapping[DomainName, list[FleetBox]],
        takes_loads: bool,
    ) -> tuple[EngineModel, list[FleetBox]] | None:
        for model in sorted(self._view.engine.models, key=self._rank_need):
            converts = self._get_load(model) > CONVERT_LOAD
            found = [
                self._pick_fastest(boxes, model, takes_loads, converts)
                for boxes in free.values()
            ]
            ready = [boxes for boxes in found if boxes]
            if ready:
                return model, min(
                    ready,
                    key=lambda boxes: (
                        self._get_time(boxes, model),
                        -len(free[boxes[0].domain]),
                    ),
                )
        return None

    def _rank_need(self, model: EngineModel) -> tuple[float, ModelName]:
        """Return a rank: the model with the most work a place is first."""
        places = self._standing[model.name] * self._view.engine.places
        work = self._get_demand(model)
        return (-(work + 1.0) / (places + 1.0), model.name)

    def _has_callers(self) -> bool:
        return sum(self._view.demand.values()) >= LEAST_DEMAND

    def _get_demand(self, model: EngineModel) -> float:
        """Return the places that callers take; a guess before they come."""
        if self._has_callers():
            return self._view.demand.get(model.name, 0.0)
        engine = self._view.engine
        boxes = model.share * len(self._boxes)
        return boxes / model.boxes_per_group * engine.places

    def _join(self, model: EngineModel, boxes: list[FleetBox]) -> None:
        memory = self._memory
        epoch = Epoch(memory.next_epoch)
        memory.next_epoch += 1
        group = name_group(model.name, epoch)
        members = tuple(box.box for box in boxes)
        memory.forming[group] = FormingGroup(members, self._now)
        self._standing[model.name] += 1
        for box in boxes:
            if box.standing is not None:
                memory.abandoned[box.standing.group] = self._now
            self._assign(box, Join(group, epoch, model.name, members))

    def _reclaim(
        self,
        idle: Mapping[DomainName, list[FleetBox]],
        verdicts: Mapping[GroupId, Verdict],
    ) -> None:
        """Close groups of a model with room for one that has too little.

        One new group at a time, so that the next look sees what it changed.
        """
        serving = [
            group
            for group in self._groups
            if verdicts[group.group] is Verdict.SERVING
        ]
        if any(group.group in self._memory.abandoned for group in serving):
            return
        needy = min(self._view.engine.models, key=self._rank_need)
        if self._get_load(needy) < RECLAIM_LOAD:
            return
        by_domain: dict[DomainName, list[FleetGroup]] = defaultdict(list)
        for group in serving:
            by_domain[group.domain].append(group)
        found = [
            self._find_donors(needy, idle.get(domain, []), groups)
            for domain, groups in by_domain.items()
        ]
        best = min((donors for donors in found if donors), key=len, default=())
        for group in best:
            self._memory.abandoned[group.group] = self._now
            self._assign(group.members[0], Close(group.group, group.epoch))

    def _find_donors(
        self,
        needy: EngineModel,
        idle: list[FleetBox],
        serving: list[FleetGroup],
    ) -> tuple[FleetGroup, ...]:
        """Return the groups of a domain that would make up one of a model."""
        lacking = needy.boxes_per_group - sum(
            self._holds(box, needy) for box in idle
        )
        donors: list[FleetGroup] = []
        for group in serving:
            enough = sum(len(donor.members) for donor in donors) >= lacking
            if not enough and self._can_give(group, needy, donors):
                donors.append(group)
        enough = sum(len(donor.members) for donor in donors) >= lacking
        return tuple(donors) if enough else ()

    def _can_give(
        self,
        group: FleetGroup,
        needy: EngineModel,
        others: list[FleetGroup],
    ) -> bool:
        """Answer whether a group is less needed than one of another model."""
        name = parse_group(group.group)
        model = self._view.engine.find_model(name)
        if model is None or model.name == needy.name:
            return False
        if not all(self._holds(box, needy) for box in group.members):
            return False
        left = self._get_load(model, given=len(others) + 1)
        return left * RECLAIM_RATIO < self._get_load(needy)

    def _get_load(self, model: EngineModel, given: int = 0) -> float:
        """Return the part of a model's places that is taken.

        Parameters
        ----------
        model
            The model.
        given
            Groups that it would have less.
        """
        groups = self._standing[model.name] - given
        if groups <= 0:
            return math.inf
        return self._get_demand(model) / (groups * self._view.engine.places)

    def _stage(self, left: Mapping[DomainName, list[FleetBox]]) -> None:
        """Load models into idle boxes, so that they can join groups soon.

        A box that served one model and holds the weights of another can
        join a group of either within about a second.
        """
        for idle in left.values():
            if not idle:
                continue
            model = self._choose_staged(idle)
            for box in self._list_lacking(idle, model):
                if not self._may_load():
                    return
                self._order_stage(box, model)

    def _stage_seconds(self) -> None:
        """Load a second model into every box while that costs little.

        A box that serves one model can then join groups of another within
        seconds for the rest of its life.
        """
        for box in self._boxes:
            standing = box.standing
            if standing is None or standing.state is MemberState.JOINING:
                continue
            others = [
                model
                for model in sorted(
                    self._view.engine.models, key=self._rank_need
                )
                if not self._holds(box, model)
            ]
            if others and box.box not in self._memory.staging:
                self._order_stage(box, others[0])

    def _choose_staged(self, idle: list[FleetBox]) -> EngineModel:
        """Return the model whose group the idle boxes of a domain could be.

        Too few boxes for any group are spares for the model of the greatest
        need.
        """
        ranked = sorted(self._view.engine.models, key=self._rank_need)
        return next(
            (model for model in ranked if model.boxes_per_group <= len(idle)),
            ranked[0],
        )

    def _list_lacking(
        self,
        idle: list[FleetBox],
        model: EngineModel,
    ) -> list[FleetBox]:
        """Return the idle boxes that are to load a model now."""
        staging = self._memory.staging
        having = sum(
            self._holds(box, model)
            or staging.get(box.box, ('',))[0] == model.name
            for box in idle
        )
        lacking = [
            box
            for box in idle
            if not self._holds(box, model) and box.box not in staging
        ]
        wanted = len(idle) - len(idle) % model.boxes_per_group - having
        if len(idle) < model.boxes_per_group:
            wanted = len(idle) - having
        return lacking[: max(0, wanted)]

    def _may_load(self) -> bool:
        """Answer whether the weight store's pace allows one more load."""
        engine = self._view.engine
        loads = self._memory.loads
        longest = max(model.load_seconds for model in engine.models)
        while loads and self._now - loads[0] > longest:
            loads.popleft()
        if len(loads) >= engine.loads_at_once:
            return False
        recent = sum(self._now - begun < 1.0 for begun in loads)
        return recent < max(1.0, engine.loads_per_second * PACE_SHARE)


def _get_head_state(group: FleetGroup) -> MemberState | None:
    head = group.head
    if head is None or head.standing is None:
        return None
    return head.standing.state


def _shows(box: FleetBox, order: BoxOrder) -> bool:
    """Answer whether a box's entry shows the effect of an order."""
    standing = box.standing
    if isinstance(order, Join):
        return standing is not None and standing.epoch >= order.epoch
    if isinstance(order, Stage):
        return order.model in box.staged
    if isinstance(order, Open):
        return standing is None or standing.state is not MemberState.READY
    if isinstance(order, Close):
        return standing is None or standing.state is not MemberState.OPEN
    return standing is None or standing.epoch != order.epoch
