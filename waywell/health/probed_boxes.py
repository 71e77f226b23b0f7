"""Interface for the boxes that a node tests its links with."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from waywell.ids import BoxId, ServiceName
    from waywell.version.fleet import FleetBox


class ProbedBoxes(abc.ABC):
    """Source of the boxes of each service."""

    @abc.abstractmethod
    def find_box(self, box: BoxId) -> FleetBox | None:
        """Return a box, or ``None`` if it is unknown."""

    @abc.abstractmethod
    def list_boxes(self, service: ServiceName) -> list[FleetBox]:
        """Return the boxes that take requests for a service."""
