"""Interface for orders to boxes and for their reports."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from waywell.version.box_report import BoxReport
    from waywell.version.fleet import FleetBox
    from waywell.version.orders import Assignment, OrderResult


class BoxOrders(abc.ABC):
    """Sends orders to boxes and reads their reports.

    Each protocol has its subclass.
    """

    @abc.abstractmethod
    async def send(self, assignment: Assignment, fence: int) -> OrderResult:
        """Send an order to a box and return its result.

        Parameters
        ----------
        assignment
            Order and the box that receives it.
        fence
            Fencing token: number of the term of the duty's holder.  A box that
            checks it refuses orders of terms before the latest that it has
            seen.
        """

    @abc.abstractmethod
    async def read_report(self, box: FleetBox) -> BoxReport | None:
        """Return the report of a box, or ``None`` if it does not answer."""
