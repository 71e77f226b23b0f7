"""Claims across entry boxes: the home's table, its peers, the platform."""

from __future__ import annotations

import abc
import asyncio
import hashlib
from typing import TYPE_CHECKING

from returns.result import Failure

from waywell.connection.entry_peer import ClaimAnswer, ClaimAsk
from waywell.connection.grpc_peer import ask_claim, open_channel
from waywell.connection.platform import Kind, PlatformFault
from waywell.duties.duty import make_operation
from waywell.membership.membership import NodeState
from waywell.request.claim import (
    ClaimKey,
    ClaimState,
    ClaimTable,
    parse_issued_id,
)

if TYPE_CHECKING:
    from waywell.connection.platform import Platform
    from waywell.membership.membership import MembershipTable, NodeRecord
    from waywell.process.clock import Clock

NAME_DIGITS = 40
"""Hexadecimal digits in the name of a claim object."""

ASK_SECONDS = 2.0
"""Seconds for a home to answer."""


class Claimer(abc.ABC):
    """A way to claim request ids of one form."""

    @abc.abstractmethod
    async def claim(self, key: ClaimKey) -> ClaimState | None:
        """Claim an id; ``None`` when its claim can't be known now."""

    @abc.abstractmethod
    def settle(self, key: ClaimKey, state: ClaimState) -> None:
        """Tell how the run of a granted request ended.

        Nobody waits for it: until the home knows, it answers repeats as
        those of a request that still runs.
        """


class HomeClaimer(Claimer):
    """Claims ids that an entry box gave out, at that box.

    Parameters
    ----------
    table
        Claims that have their home here.
    members
        Membership view, to find other homes.
    clock
        Where the time is read.
    """

    def __init__(
        self,
        table: ClaimTable,
        members: MembershipTable,
        clock: Clock,
    ) -> None:
        """Serve as a home with an empty table."""
        self.table = table
        self._members = members
        self._clock = clock
        self._telling: set[asyncio.Task[ClaimState | None]] = set()

    def answer(self, ask: ClaimAsk) -> ClaimAnswer:
        """Answer another entry box about an id that has its home here."""
        key = ClaimKey(ask.account, ask.request_id)
        if ask.settle is not None:
            self.table.settle(key, ask.settle)
            return ClaimAnswer(ask.settle)
        state = self.table.claim(
            key,
            ask.holder,
            ask.holder_incarnation,
            self._clock.read(),
        )
        return ClaimAnswer(state)

    def handle_node_change(self, record: NodeRecord) -> None:
        """Take in a change of the membership."""
        if record.node == self._members.own_name:
            self.table.change_incarnation(record.incarnation)
        elif record.state is NodeState.LOST:
            self.table.mark_holder_lost(record.node, record.incarnation)
        else:
            self.table.mark_holder_lost(record.node, record.incarnation - 1)

    async def claim(self, key: ClaimKey) -> ClaimState | None:
        """Claim an id at its home."""
        return await self._ask(key, None)

    def settle(self, key: ClaimKey, state: ClaimState) -> None:
        """Tell the home how the run ended."""
        issued = parse_issued_id(key.request_id)
        if issued is None or issued.node == self._members.own_name:
            self.table.settle(key, state)
            return
        telling = asyncio.get_running_loop().create_task(
            self._ask(key, state),
        )
        self._telling.add(telling)
        telling.add_done_callback(self._telling.discard)

    async def _ask(
        self,
        key: ClaimKey,
        settle: ClaimState | None,
    ) -> ClaimState | None:
        own = self._members.own
        ask = ClaimAsk(
            key.account,
            key.request_id,
            own.node,
            own.incarnation,
            settle,
        )
        issued = parse_issued_id(key.request_id)
        if issued is None or issued.node == own.node:
            return self.answer(ask).state
        home = self._members.find(issued.node)
        if home is None or home.incarnation != issued.incarnation:
            return ClaimState.UNKNOWN
        if home.state is NodeState.LOST:
            return ClaimState.UNKNOWN
        return await _ask_home(home, ask)


async def _ask_home(home: NodeRecord, ask: ClaimAsk) -> ClaimState | None:
    channel = open_channel(home.host, home.peer_port)
    try:
        answer = await ask_claim(channel, ask, ASK_SECONDS)
    except Exception:
        return None
    finally:
        channel.close()
    return ClaimState(answer.state)


class PlatformClaimer(Claimer):
    """Claims ids that callers made up, by a conditional create.

    Parameters
    ----------
    platform
        The platform.
    clock
        Where the time is read.
    """

    def __init__(self, platform: Platform, clock: Clock) -> None:
        """Keep where to write."""
        self._platform = platform
        self._clock = clock

    async def claim(self, key: ClaimKey) -> ClaimState | None:
        """Create the claim object; whoever comes second finds it there."""
        name = _name_claim(key)
        operation = make_operation()
        body = {
            'operation': operation,
            'at': int(self._clock.read_wall()),
        }
        answer = await self._platform.write(Kind.CLAIM, name, body, 0)
        if not isinstance(answer, Failure):
            return ClaimState.GRANTED
        fault = answer.failure()
        if fault is PlatformFault.NOT_SENT:
            return None
        return await self._look_up(name, operation)

    def settle(self, key: ClaimKey, state: ClaimState) -> None:
        """Leave the claim as it is: a repeat learns that it may have run."""

    async def _look_up(self, name: str, operation: str) -> ClaimState | None:
        read = await self._platform.fetch(Kind.CLAIM, name)
        if isinstance(read, Failure):
            return None
        stored = read.unwrap()
        if stored is None:
            return None
        mine = stored.body.get('operation') == operation
        return ClaimState.GRANTED if mine else ClaimState.UNKNOWN


def _name_claim(key: ClaimKey) -> str:
    text = f'{key.account}\n{key.request_id}'
    return hashlib.sha256(text.encode()).hexdigest()[:NAME_DIGITS]
