"""Which boxes load which model from the weight store, and when.

A box holds the weights of the model that it served last, and on its host
those of one more; it can join a group of either within about a second, while
a load takes ten times as long and the weight store has a pace.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.version.fleet import FleetBox, MemberState, Pools
from waywell.version.forming_memory import FormingMemory, Staging
from waywell.version.orders import BoxOrder, OrderReason, Stage

if TYPE_CHECKING:
    from collections.abc import Callable

    from waywell.version.model_need import ModelNeed
    from waywell.version.routes import EngineModel

STAGE_LOAD = 0.4
"""Part of its places taken from which on the model of the greatest need is
loaded into idle boxes however few they are: a load takes as long as half a
dozen boxes need to fail."""

LOADS_BESIDE = 2
"""Loads that run at the most when one begins in a box that serves: a load
takes its place at the weight store for 12 to 16 s, and idle boxes wait for
places."""


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
            if others and box.box not in self._memory.staging:
                self._order(box, others[0])

    def load_within_pace(self, idle: Pools) -> None:
        """Load models into idle boxes first, then into boxes that serve.

        Parameters
        ----------
        idle
            Boxes in no group, by fabric domain.
        """
        if self._load_idle(idle):
            self._load_beside()

    def _load_idle(self, pools: Pools) -> bool:
        """Load models into idle boxes, so that they can join groups soon.

        A box that served one model and holds the weights of another can
        join a group of either within about a second.

        Returns
        -------
        bool
            Whether every idle box that should load has begun to.
        """
        # Where most boxes are idle a group is whole soonest.
        for idle in sorted(pools.values(), key=len, reverse=True):
            model = self._choose_model(idle)
            for box in self._list_lacking(idle, model):
                if not self._load(box, model):
                    return False
        return True

    def _load_beside(self) -> None:
        """Load the model that has little room into boxes that serve another.

        Only those whose host holds nothing beside what they serve.
        """
        model = self._need.rank_models()[0]
        if self._need.get_load(model) < STAGE_LOAD:
            return
        for box in self._list_single():
            if len(self._memory.loads) >= LOADS_BESIDE:
                return
            if not self._memory.holds(box, model):
                self._load(box, model)

    def _list_single(self) -> list[FleetBox]:
        """Return boxes whose host holds nothing but what they serve."""
        served = self._memory.last_models
        resting = [
            box
            for box in self._boxes
            if box.standing is not None
            and box.standing.state is not MemberState.JOINING
            and not box.leaving
        ]
        return [
            box
            for box in resting
            if box.box in served
            and set(box.staged) <= {served[box.box]}
            and self._memory.may_ask_to_load(box, self._now)
        ]

    def _load(self, box: FleetBox, model: EngineModel) -> bool:
        """Order a load; answer whether the weight store's pace allowed it."""
        if not self._memory.may_load(self._need.engine, self._now):
            return False
        if self._order(box, model):
            self._memory.loads[box.box] = self._now
        return True

    def _list_others(self, box: FleetBox) -> list[EngineModel]:
        """Return the models that a box holds no weights of, by need."""
        return [
            model
            for model in self._need.rank_models()
            if not self._memory.holds(box, model)
        ]

    def _order(self, box: FleetBox, model: EngineModel) -> bool:
        """Order a load whatever the pace; answer whether it is given."""
        is_given = self._assign(box, Stage(model.name), OrderReason.SPARE)
        if is_given:
            staging = Staging(model.name, self._now)
            self._memory.staging[box.box] = staging
        return is_given

    def _choose_model(self, idle: list[FleetBox]) -> EngineModel:
        """Return the model whose group the idle boxes of a domain could be.

        Too few boxes for any group are spares for the model of the greatest
        need; where that has little room left, all are, as groups of others
        can be closed to make them up.
        """
        ranked = self._need.rank_models()
        if self._need.get_load(ranked[0]) >= STAGE_LOAD:
            return ranked[0]
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
        empty = [box for box in idle if not self._memory.holds(box, model)]
        lacking = [
            box
            for box in empty
            if self._memory.may_ask_to_load(box, self._now)
        ]
        coming = sum(
            box.box in staging and staging[box.box].model == model.name
            for box in empty
        )
        size = model.boxes_per_group
        surplus = len(idle) % size if len(idle) >= size else 0
        wanted = len(idle) - surplus
        having = len(idle) - len(empty) + coming
        return lacking[: max(0, wanted - having)]
