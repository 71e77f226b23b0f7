"""Probes of the platform's store on behalf of another node."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.result import Success

from waywell.connection.platform import Kind, Platform

if TYPE_CHECKING:
    from waywell.ids import NodeId

PROBE_SECONDS = 0.5
"""Timeout of a probe, in seconds.  A later report would be of little use, as
the store may have been away until it arrives."""


class StoreProbe:
    """Finds out whether the store answers this node at the moment.

    Parameters
    ----------
    platform
        Client of the store.
    node
        Name of this node, whose small presence object is read.
    """

    def __init__(self, platform: Platform, node: NodeId) -> None:
        """Create a probe without a call."""
        self._platform = platform
        self._node = node
        self._call: asyncio.Task[bool] | None = None

    async def run(self) -> bool:
        """Return whether the store answers; concurrent probes share a call."""
        if self._call is None or self._call.done():
            self._call = asyncio.get_running_loop().create_task(self._read())
        call = self._call
        await asyncio.wait({call}, timeout=PROBE_SECONDS)
        return call.done() and call.result()

    async def _read(self) -> bool:
        answer = await self._platform.fetch(Kind.PRESENCE, self._node)
        return isinstance(answer, Success)
