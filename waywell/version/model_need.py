"""How much work each model has for the places of its groups."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from waywell.ids import ModelName
from waywell.version.routes import Engine

if TYPE_CHECKING:
    from waywell.version.routes import EngineModel

NO_WAIT_LOAD = 0.3
"""Part of a model's places taken up to which its requests hardly wait for each
other."""

BALANCED_RATIO = 1.25
"""How much more of one model's places may be taken than of another's before
groups are closed in domains without an idle box: less than one group moves in
a model of four."""

LIGHT_LOAD_COST = 0.01
"""Cost of a taken place below that, so that idle boxes are put to use where
it costs nothing."""

MIN_GROUPS = 0.05
"""Groups that a model without any is reckoned to have: its requests are
refused, which is worse than any wait."""

MIN_WORK = 1.0
"""Places reckoned for a model that nobody asks for just now."""

MIN_MEASURED_DEMAND = 5.0
"""Places taken by callers from which on the models' demand is measured and
not guessed from the operators' shares of the boxes."""


@attrs.frozen
class ModelNeed:
    """What callers ask of the models, and the groups that stand for it."""

    engine: Engine
    """Engines of the service."""

    demand: Mapping[ModelName, float]
    """Work that callers ask of each model, in places."""

    boxes: int
    """Boxes of the service."""

    groups: Counter[ModelName] = attrs.Factory(Counter)
    """Groups of each model that serve or will."""

    serving: Counter[ModelName] = attrs.Factory(Counter)
    """Groups of each model that serve now."""

    def has_measured_demand(self) -> bool:
        """Answer whether enough requests came to go by them."""
        return sum(self.demand.values()) >= MIN_MEASURED_DEMAND

    def rank_models(self) -> list[EngineModel]:
        """Return the models, that with the most work a place first."""
        return sorted(self.engine.models, key=self._rank)

    def get_utilisation(self, model: EngineModel) -> float:
        """Return the part of a model's places that is taken."""
        groups = self.groups[model.name]
        if groups <= 0:
            return math.inf
        return self._get_work(model) / (groups * self.engine.places)

    def is_unbalanced(self) -> bool:
        """Answer whether one model is short while another has more room.

        Where no box is idle, a change only takes places from one model for
        another, which pays in no other case.
        """
        loads = [self.get_utilisation(model) for model in self.engine.models]
        return max(loads) > max(NO_WAIT_LOAD, BALANCED_RATIO * min(loads))

    def get_cost(self, change: Mapping[ModelName, int]) -> float:
        """Return what callers lose a second by waiting, in places.

        It rises with the square of the part of the places that is taken, as
        requests wait for each other ever more, and with the requests that
        wait.

        Parameters
        ----------
        change
            Groups that each model has more, or less.
        """
        return sum(
            self._get_model_cost(
                model, self.groups[model.name] + change.get(model.name, 0)
            )
            for model in self.engine.models
        )

    def get_closing_cost(self, closed: Mapping[ModelName, int]) -> float:
        """Return what callers lose a second while some groups don't serve.

        Only groups that serve now count for it: those that form may be
        seconds away, or lose a box before.

        Parameters
        ----------
        closed
            Groups that each model has less.
        """
        return sum(
            self._get_model_cost(model, self.serving[model.name] - count)
            - self._get_model_cost(model, self.serving[model.name])
            for model in self.engine.models
            if (count := closed.get(model.name, 0))
        )

    def get_gain(self, model: EngineModel) -> float:
        """Return what callers gain by one more group, in places a second."""
        groups = self.groups[model.name]
        before = self._get_model_cost(model, groups)
        return before - self._get_model_cost(model, groups + 1)

    def _get_model_cost(self, model: EngineModel, groups: int) -> float:
        """Return what callers of a model lose a second with some groups."""
        work = max(MIN_WORK, self._get_work(model))
        load = work / (max(MIN_GROUPS, groups) * self.engine.places)
        return work * (
            max(0.0, load - NO_WAIT_LOAD) ** 2 + LIGHT_LOAD_COST * load
        )

    def _get_work(self, model: EngineModel) -> float:
        """Return the places that callers take; a guess before they come."""
        if self.has_measured_demand():
            return self.demand.get(model.name, 0.0)
        boxes = model.share * self.boxes
        return boxes / model.boxes_per_group * self.engine.places

    def _rank(self, model: EngineModel) -> tuple[float, ModelName]:
        places = self.groups[model.name] * self.engine.places
        return (-(self._get_work(model) + 1.0) / (places + 1.0), model.name)
