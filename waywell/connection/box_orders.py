"""Calls that give orders to boxes."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from waywell.version.orders import Assignment, OrderResult


class BoxOrders(abc.ABC):
    """Gives orders; another protocol is another subclass."""

    @abc.abstractmethod
    async def give(self, assignment: Assignment) -> OrderResult:
        """Give an order to a box and return what came of it."""
