"""Which boxes load which model from the weight store, and when.

A box holds the weights of the model that it served last, and on its host
those of one more; it can join a group of either within about a second, while
a load takes ten times as long and the weight store has a pace.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.version.fleet import BoxesByDomain, FleetBox, MemberState
from waywell.version.forming_memory import FormingMemory, Staging
from waywell.version.orders import BoxOrder, OrderReason, Stage

if TYPE_CHECKING:
    from collections.abc import Callable

    from waywell.version.model_need import ModelNeed
    from waywell.version.routes import EngineModel

REPLACE_RATIO = 2.0
"""How much more a box must be worth to the model that it is to load than to
the one that this pushes out of its host, so that loads don't undo another."""

BESIDE_PART = 0.5
"""Part of the weight store's places that boxes which serve may take: a load
takes its place for 12 to 16 s, and idle boxes wait for places."""


class StagingPlanner:
    """Plans loads for one service.

    Parameters
    ----------
    need
        What callers ask of the models.
    memory
        What the holder remembers; changed by the plan.
    boxes
        The boxes of the service.
    assign
        Gives an order to a box, unless one is open; answers whether so.
    now
        The present time, in seconds.
    """

    def __init__(
        self,
        need: ModelNeed,
        memory: FormingMemory,
        boxes: list[FleetBox],
        assign: Callable[[FleetBox, BoxOrder, OrderReason], bool],
        now: float,
    ) -> None:
        """Plan nothing yet."""
        self._need = need
        self._memory = memory
        self._boxes = boxes
        self._assign = assign
        self._now = now

    def load_second_models(self) -> None:
        """Load a second model into every box while that costs little.

        A box that serves one model can then join groups of another within
        seconds for the rest of its life.  These loads are not counted.
        """
        for box in self._boxes:
            standing = box.standing
            if standing is None or standing.state is MemberState.JOINING:
                continue
            others = self._list_others(box)
            if others and box.life not in self._memory.staging:
                self._order(box, others[0])

    def load_within_pace(self, idle: BoxesByDomain) -> None:
        """Load models that boxes lack, those that callers gain most by first.

        Idle boxes come before those that serve: what makes up a whole group,
        then spares of the model in need, so that a group that loses a box is
        patched with one at hand.

        Parameters
        ----------
        idle
            Boxes in no group, by fabric domain.
        """
        while wanted := self._find_wanted(idle):
            model, boxes = wanted
            for box in boxes:
                if not self._load(box, model):
                    return
            self._need.groups[model.name] += 1
        if self._load_spares(idle):
            self._load_beside()

    def _find_wanted(
        self,
        idle: BoxesByDomain,
    ) -> tuple[EngineModel, list[FleetBox]] | None:
        """Return the group that gains most a load, with the boxes to load."""
        found = [
            (model, boxes)
            for domain in sorted(idle)
            for model in self._need.engine.models
            if (boxes := self._list_missing(idle[domain], model))
        ]
        return max(
            found,
            key=lambda one: self._need.get_gain(one[0]) / len(one[1]),
            default=None,
        )

    def _list_missing(
        self,
        idle: list[FleetBox],
        model: EngineModel,
    ) -> list[FleetBox]:
        """Return the idle boxes of a domain whose loads complete a group.

        None where it is complete already, or too few boxes are idle.
        """
        size = model.boxes_per_group
        lacking = self._list_lacking(idle, model)
        missing = size - self._count_holders(idle, model) % size
        if missing > len(lacking):
            return []
        return lacking[:missing]

    def _count_holders(
        self,
        idle: list[FleetBox],
        model: EngineModel,
    ) -> int:
        """Return how many boxes hold a model or load it."""
        staging = self._memory.staging
        return sum(
            self._memory.holds(box, model)
            or (box.life in staging and staging[box.life].model == model.name)
            for box in idle
        )

    def _list_lacking(
        self,
        boxes: list[FleetBox],
        model: EngineModel,
    ) -> list[FleetBox]:
        """Return the boxes that lack a model and may be asked to load it.

        One at the most where loads of the model have crashed their boxes.
        """
        failures = self._memory.load_failures
        if not failures.may_load(model.name):
            return []
        lacking = [
            box
            for box in boxes
            if not self._memory.holds(box, model)
            and self._memory.may_ask_to_load(box, self._now)
        ]
        return lacking[:1] if failures.is_limited(model.name) else lacking

    def _load_spares(self, pools: BoxesByDomain) -> bool:
        """Load what idle boxes lack, the model in need first.

        Returns
        -------
        bool
            Whether every idle box that lacks a model has begun to load.
        """
        idle = [box for domain in sorted(pools) for box in pools[domain]]
        return all(
            self._load(box, model)
            for model in self._need.rank_models()
            for box in self._list_lacking(idle, model)
            if self._may_push_out(box, model)
        )

    def _may_push_out(self, box: FleetBox, model: EngineModel) -> bool:
        """Answer whether a box gains by what it loads more than it loses."""
        if self._memory.has_room(box):
            return True
        worths = [
            self._get_worth(held)
            for held in self._need.engine.models
            if held.name in box.staged
        ]
        return self._get_worth(model) > REPLACE_RATIO * max(worths, default=0)

    def _get_worth(self, model: EngineModel) -> float:
        """Return what callers gain by one more box of a model."""
        return self._need.get_gain(model) / model.boxes_per_group

    def _load_beside(self) -> None:
        """Load a second model into boxes that serve and hold only one."""
        most = BESIDE_PART * self._need.engine.loads_at_once
        single = self._list_single()
        for model in self._need.rank_models():
            for box in self._list_lacking(single, model):
                if len(self._memory.loads) >= most:
                    return
                self._load(box, model)

    def _list_single(self) -> list[FleetBox]:
        """Return boxes whose host holds nothing but what they serve."""
        return [
            box
            for box in self._boxes
            if _is_settled(box)
            and box.life in self._memory.last_models
            and self._memory.has_room(box)
        ]

    def _load(self, box: FleetBox, model: EngineModel) -> bool:
        """Order a load; answer whether the weight store's pace allowed it."""
        if not self._memory.may_load(self._need.engine, self._now):
            return False
        if self._order(box, model):
            self._memory.loads[box.life] = self._now
        return True

    def _list_others(self, box: FleetBox) -> list[EngineModel]:
        """Return the models that a box holds no weights of, by need."""
        return [
            model
            for model in self._need.rank_models()
            if not self._memory.holds(box, model)
            and self._memory.load_failures.may_load(model.name)
        ]

    def _order(self, box: FleetBox, model: EngineModel) -> bool:
        """Order a load whatever the pace; answer whether it is given."""
        is_given = self._assign(box, Stage(model.name), OrderReason.SPARE)
        if is_given:
            staging = Staging(model.name, self._now)
            self._memory.staging[box.life] = staging
        return is_given


def _is_settled(box: FleetBox) -> bool:
    """Answer whether a box has loaded its group's model, and stays."""
    standing = box.standing
    if standing is None or box.leaving:
        return False
    return standing.state is not MemberState.JOINING
