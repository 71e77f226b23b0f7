"""Calls that give orders to boxes."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from waywell.version.box_report import BoxReport
    from waywell.version.fleet import FleetBox
    from waywell.version.orders import Assignment, OrderResult


class BoxOrders(abc.ABC):
    """Gives orders and asks boxes; another protocol is another subclass."""

    @abc.abstractmethod
    async def send(self, assignment: Assignment, fence: int) -> OrderResult:
        """Give an order to a box and return what came of it.

        Parameters
        ----------
        assignment
            The order and its box.
        fence
            Number of the holder's term of work; a box that checks it refuses
            orders of terms before the latest that it has seen.
        """

    @abc.abstractmethod
    async def read_report(self, box: FleetBox) -> BoxReport | None:
        """Ask a box how it is; return ``None`` when no answer came."""
