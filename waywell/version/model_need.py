"""Demand for each model compared with the places of its groups."""

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
"""Utilisation of a model's places up to which its requests hardly wait for
each other."""

BALANCED_RATIO = 1.25
"""Ratio between the utilisations of two models above which groups are closed
in domains without an idle box; below it, a model of four groups would gain or
lose less than one."""

LIGHT_LOAD_COST = 0.01
"""Cost of an occupied place at low utilisation, so that idle boxes are used
where that costs nothing."""

MIN_GROUPS = 0.05
"""Number of groups assumed for a model without any: its requests are refused,
which is worse than any wait."""

MIN_WORK = 1.0
"""Places assumed for a model without current demand."""

MIN_MEASURED_DEMAND = 5.0
"""Places occupied by callers from which on the models' demand is measured
instead of derived from the operators' shares of the boxes."""


@attrs.frozen
class ModelNeed:
    """Demand for the models and the groups that meet it."""

    engine: Engine
    """Engine of the service, with its models."""

    demand: Mapping[ModelName, float]
    """Measured demand for each model, in places."""

    boxes: int
    """Number of boxes of the service."""

    groups: Counter[ModelName] = attrs.Factory(Counter)
    """Groups of each model that serve or are going to."""

    serving: Counter[ModelName] = attrs.Factory(Counter)
    """Groups of each model that serve now."""

    def has_measured_demand(self) -> bool:
        """Return whether there are enough requests to measure demand."""
        return sum(self.demand.values()) >= MIN_MEASURED_DEMAND

    def rank_models(self) -> list[EngineModel]:
        """Return the models, the one with the most work per place first."""
        return sorted(self.engine.models, key=self._rank)

    def get_utilisation(self, model: EngineModel) -> float:
        """Return the occupied share of a model's places."""
        groups = self.groups[model.name]
        if groups <= 0:
            return math.inf
        return self._get_work(model) / (groups * self.engine.places)

    def is_unbalanced(self) -> bool:
        """Return whether one model is short while another has room.

        Where no box is idle, a change only moves places from one model to
        another, which pays in no other case.
        """
        utilisations = [
            self.get_utilisation(model) for model in self.engine.models
        ]
        return max(utilisations) > max(
            NO_WAIT_LOAD, BALANCED_RATIO * min(utilisations)
        )

    def get_cost(self, change: Mapping[ModelName, int]) -> float:
        """Return the callers' loss per second from waiting, in places.

        It rises with the square of the utilisation, as requests wait for each
        other ever longer, and with the number of requests that wait.

        Parameters
        ----------
        change
            Groups that each model gains, or loses if negative.
        """
        return sum(
            self._get_model_cost(
                model, self.groups[model.name] + change.get(model.name, 0)
            )
            for model in self.engine.models
        )

    def get_closing_cost(self, closed: Mapping[ModelName, int]) -> float:
        """Return the callers' loss per second while groups don't serve.

        Only groups that serve now are counted: those that are forming may be
        seconds away, or lose a box first.

        Parameters
        ----------
        closed
            Number of groups of each model that are closed.
        """
        return sum(
            self._get_model_cost(model, self.serving[model.name] - count)
            - self._get_model_cost(model, self.serving[model.name])
            for model in self.engine.models
            if (count := closed.get(model.name, 0))
        )

    def get_gain(self, model: EngineModel) -> float:
        """Return the callers' gain from one more group, in places a second."""
        groups = self.groups[model.name]
        before = self._get_model_cost(model, groups)
        return before - self._get_model_cost(model, groups + 1)

    def _get_model_cost(self, model: EngineModel, groups: int) -> float:
        """Return a model's loss per second with some number of groups."""
        work = max(MIN_WORK, self._get_work(model))
        utilisation = work / (max(MIN_GROUPS, groups) * self.engine.places)
        return work * (
            max(0.0, utilisation - NO_WAIT_LOAD) ** 2
            + LIGHT_LOAD_COST * utilisation
        )

    def _get_work(self, model: EngineModel) -> float:
        """Return the places that callers occupy, or the expected number."""
        if self.has_measured_demand():
            return self.demand.get(model.name, 0.0)
        boxes = model.share * self.boxes
        return boxes / model.boxes_per_group * self.engine.places

    def _rank(self, model: EngineModel) -> tuple[float, ModelName]:
        places = self.groups[model.name] * self.engine.places
        return (-(self._get_work(model) + 1.0) / (places + 1.0), model.name)
