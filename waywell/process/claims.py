"""Claims of request ids across entry boxes.

A claim makes sure that a request runs at most once.  An id that an entry box
issued is claimed in the table of that box, its home; an id that a caller chose
is claimed by creating an object in the platform.
"""

from __future__ import annotations

import abc
import asyncio
import hashlib
from typing import TYPE_CHECKING

from returns.result import Failure

from waywell.connection.entry_peer import ClaimAnswer, ClaimRequest
from waywell.connection.grpc_peer import open_channel, request_claim
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

CLAIM_NAME_DIGITS = 40
"""Number of hexadecimal digits in the name of a claim object."""

HOME_TIMEOUT_SECONDS = 2.0
"""Timeout of a call to the home of a claim, in seconds."""


class Claimer(abc.ABC):
    """Claims request ids of one form."""

    @abc.abstractmethod
    async def claim(self, key: ClaimKey) -> ClaimState | None:
        """Claim an id for this node.

        Returns
        -------
        ClaimState or None
            State of the claim; ``None`` if it can't be determined now.
        """

    @abc.abstractmethod
    def settle(self, key: ClaimKey, state: ClaimState) -> None:
        """Record how the run of a granted request ended.

        The call doesn't wait for the home; until the home is notified, it
        answers repeats as those of a running request.
        """


class HomeClaimer(Claimer):
    """Claims ids that an entry box issued, at that box.

    Parameters
    ----------
    table
        Claims that have their home at this node.
    members
        Membership view, to find other homes.
    clock
        Clock of the node.
    """

    def __init__(
        self,
        table: ClaimTable,
        members: MembershipTable,
        clock: Clock,
    ) -> None:
        """Serve as the home of the claims in the table."""
        self.table = table
        self._members = members
        self._clock = clock
        self._notifications: set[asyncio.Task[ClaimState | None]] = set()

    def answer(self, request: ClaimRequest) -> ClaimAnswer:
        """Claim or settle an id with its home here for another entry box."""
        key = ClaimKey(request.account, request.request_id)
        if request.final_state is not None:
            self.table.settle(key, request.final_state)
            return ClaimAnswer(request.final_state)
        state = self.table.claim(
            key,
            request.holder,
            request.holder_incarnation,
            self._clock.read(),
        )
        return ClaimAnswer(state)

    def handle_node_change(self, record: NodeRecord) -> None:
        """Update the claims after a change of a node's membership record.

        Claims of a lost or earlier run of the node get marked accordingly.
        """
        if record.node == self._members.own_name:
            self.table.change_incarnation(record.incarnation)
        elif record.state is NodeState.LOST:
            self.table.mark_holder_lost(record.node, record.incarnation)
        else:
            self.table.mark_holder_lost(record.node, record.incarnation - 1)

    async def claim(self, key: ClaimKey) -> ClaimState | None:
        """Claim an id at the entry box that issued it."""
        return await self._claim_or_settle(key, None)

    def settle(self, key: ClaimKey, state: ClaimState) -> None:
        """Record how the run ended; a remote home is notified by a task."""
        issued = parse_issued_id(key.request_id)
        if issued is None or issued.node == self._members.own_name:
            self.table.settle(key, state)
            return
        notification = asyncio.get_running_loop().create_task(
            self._claim_or_settle(key, state),
        )
        self._notifications.add(notification)
        notification.add_done_callback(self._notifications.discard)

    async def _claim_or_settle(
        self,
        key: ClaimKey,
        settle: ClaimState | None,
    ) -> ClaimState | None:
        own = self._members.own
        request = ClaimRequest(
            key.account,
            key.request_id,
            own.node,
            own.incarnation,
            settle,
        )
        issued = parse_issued_id(key.request_id)
        if issued is None or issued.node == own.node:
            return self.answer(request).state
        home = self._members.find(issued.node)
        if home is None or home.incarnation != issued.incarnation:
            return ClaimState.UNKNOWN
        if home.state is NodeState.LOST:
            return ClaimState.UNKNOWN
        return await _call_home(home, request)


async def _call_home(
    home: NodeRecord, request: ClaimRequest
) -> ClaimState | None:
    channel = open_channel(home.host, home.peer_port)
    try:
        answer = await request_claim(channel, request, HOME_TIMEOUT_SECONDS)
    except Exception:
        return None
    finally:
        channel.close()
    return ClaimState(answer.state)


class PlatformClaimer(Claimer):
    """Claims ids that callers chose, by a conditional create.

    Parameters
    ----------
    platform
        Client of the platform's object API.
    clock
        Clock of the node.
    """

    def __init__(self, platform: Platform, clock: Clock) -> None:
        """Use a platform for the claim objects."""
        self._platform = platform
        self._clock = clock

    async def claim(self, key: ClaimKey) -> ClaimState | None:
        """Create the claim object; this fails if the id is claimed already."""
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
        return await self._check_outcome(name, operation)

    def settle(self, key: ClaimKey, state: ClaimState) -> None:
        """Do nothing: repeats are answered that the request may have run."""

    async def _check_outcome(
        self, name: str, operation: str
    ) -> ClaimState | None:
        read = await self._platform.fetch(Kind.CLAIM, name)
        if isinstance(read, Failure):
            return None
        stored = read.unwrap()
        if stored is None:
            return None
        is_own = stored.body.get('operation') == operation
        return ClaimState.GRANTED if is_own else ClaimState.UNKNOWN


def _name_claim(key: ClaimKey) -> str:
    text = f'{key.account}\n{key.request_id}'
    return hashlib.sha256(text.encode()).hexdigest()[:CLAIM_NAME_DIGITS]
