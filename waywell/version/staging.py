"""Planning of which boxes load which model from the weight store, and when.

A box holds the weights of the model that it served last, and its host holds
those of one more. It can join a group of either within about a second, while a
load takes ten times as long and the weight store limits the pace of loads.
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
"""Minimum ratio between a box's worth to the model that it loads and its worth
to the model that the load evicts from its host.  It keeps loads from undoing
each other."""

SERVING_LOAD_SHARE = 0.5
"""Share of the weight store's concurrent loads that serving boxes may use: a
load occupies its place for 12 to 16 s, and idle boxes wait for places."""


class StagingPlanner:
    """Plans the loads of one service.

    Parameters
    ----------
    need
        Demand for the models and the groups that meet it.
    memory
        State of the duty's holder; updated by the plan.
    boxes
        Boxes of the service.
    assign
        Gives an order to a box unless it has a pending one; returns whether
        the order was given.
    now
        Current time, in seconds.
    """

    def __init__(
        self,
        need: ModelNeed,
        memory: FormingMemory,
        boxes: list[FleetBox],
        assign: Callable[[FleetBox, BoxOrder, OrderReason], bool],
        now: float,
    ) -> None:
        """Store the inputs of the plan."""
        self._need = need
        self._memory = memory
        self._boxes = boxes
        self._assign = assign
        self._now = now

    def load_second_models(self) -> None:
        """Load a second model into every box while that costs little.

        A box that serves one model can then join groups of another within
        seconds for the rest of its life. These loads don't count against the
        weight store's pace.
        """
        for box in self._boxes:
            standing = box.standing
            if standing is None or standing.state is MemberState.JOINING:
                continue
            others = self._list_others(box)
            if others and box.life not in self._memory.staging:
                self._order_load(box, others[0])

    def load_within_pace(self, idle: BoxesByDomain) -> None:
        """Load missing models, those with the greatest gain for callers first.

        Idle boxes come before serving ones: first loads that complete a whole
        group, then spares of the model in need, so that a group that loses a
        box finds a replacement at once.

        Parameters
        ----------
        idle
            Boxes in no group, by fabric domain.
        """
        while best := self._find_most_gainful(idle):
            model, boxes = best
            for box in boxes:
                if not self._load(box, model):
                    return
            self._need.groups[model.name] += 1
        if self._load_spares(idle):
            self._load_serving_boxes()

    def _find_most_gainful(
        self,
        idle: BoxesByDomain,
    ) -> tuple[EngineModel, list[FleetBox]] | None:
        """Return the group with the greatest gain per load, with its boxes."""
        found = [
            (model, boxes)
            for domain in sorted(idle)
            for model in self._need.engine.models
            if (boxes := self._list_missing(idle[domain], model))
        ]
        return max(
            found,
            key=lambda pair: self._need.get_gain(pair[0]) / len(pair[1]),
            default=None,
        )

    def _list_missing(
        self,
        idle: list[FleetBox],
        model: EngineModel,
    ) -> list[FleetBox]:
        """Return the idle boxes of a domain whose loads complete a group.

        The list is empty if the group is complete already or too few boxes are
        idle.
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
        """Return how many boxes hold a model or are loading it."""
        staging = self._memory.staging
        return sum(
            self._memory.has_weights(box, model)
            or (box.life in staging and staging[box.life].model == model.name)
            for box in idle
        )

    def _list_lacking(
        self,
        boxes: list[FleetBox],
        model: EngineModel,
    ) -> list[FleetBox]:
        """Return the boxes that lack a model and may be ordered to load it.

        At most one box is returned if loads of the model have crashed boxes.
        """
        failures = self._memory.load_failures
        if not failures.may_load(model.name):
            return []
        lacking = [
            box
            for box in boxes
            if not self._memory.has_weights(box, model)
            and self._memory.may_order_load(box, self._now)
        ]
        return lacking[:1] if failures.is_limited(model.name) else lacking

    def _load_spares(self, pools: BoxesByDomain) -> bool:
        """Load what idle boxes lack, the model in greatest need first.

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
            if self._is_worth_evicting(box, model)
        )

    def _is_worth_evicting(self, box: FleetBox, model: EngineModel) -> bool:
        """Return whether a load gains enough to evict what the host holds."""
        if self._memory.has_room(box):
            return True
        worths = [
            self._get_worth(held)
            for held in self._need.engine.models
            if held.name in box.staged
        ]
        return self._get_worth(model) > REPLACE_RATIO * max(worths, default=0)

    def _get_worth(self, model: EngineModel) -> float:
        """Return the callers' gain from one more box of a model."""
        return self._need.get_gain(model) / model.boxes_per_group

    def _load_serving_boxes(self) -> None:
        """Load a second model into serving boxes that hold only one."""
        max_loads = SERVING_LOAD_SHARE * self._need.engine.loads_at_once
        single = self._list_single_model_boxes()
        for model in self._need.rank_models():
            for box in self._list_lacking(single, model):
                if len(self._memory.loads) >= max_loads:
                    return
                self._load(box, model)

    def _list_single_model_boxes(self) -> list[FleetBox]:
        """Return boxes whose host holds nothing but the model they serve."""
        return [
            box
            for box in self._boxes
            if _is_settled(box)
            and box.life in self._memory.last_models
            and self._memory.has_room(box)
        ]

    def _load(self, box: FleetBox, model: EngineModel) -> bool:
        """Order a load; return whether the weight store's pace allowed it."""
        if not self._memory.may_load(self._need.engine, self._now):
            return False
        if self._order_load(box, model):
            self._memory.loads[box.life] = self._now
        return True

    def _list_others(self, box: FleetBox) -> list[EngineModel]:
        """Return the models whose weights a box lacks, greatest need first."""
        return [
            model
            for model in self._need.rank_models()
            if not self._memory.has_weights(box, model)
            and self._memory.load_failures.may_load(model.name)
        ]

    def _order_load(self, box: FleetBox, model: EngineModel) -> bool:
        """Order a load regardless of the pace; return whether it was given."""
        is_given = self._assign(box, Stage(model.name), OrderReason.SPARE)
        if is_given:
            staging = Staging(model.name, self._now)
            self._memory.staging[box.life] = staging
        return is_given


def _is_settled(box: FleetBox) -> bool:
    """Return whether a box has loaded its group's model and is staying."""
    standing = box.standing
    if standing is None or box.leaving:
        return False
    return standing.state is not MemberState.JOINING
