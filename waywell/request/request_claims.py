"""Claims of the requests that may run at most once."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

import attrs

from waywell.codes import Code, Ran, Refusal
from waywell.process.claims import Claimer
from waywell.request.claim import ClaimKey, ClaimState, parse_issued_id
from waywell.telemetry.history import History

if TYPE_CHECKING:
    from waywell.request.submission import PendingRequest

NO_GROUP_RETRY_SECONDS = 2.0
"""Advice to callers while no group can serve."""

_REFUSAL_BY_CLAIM = MappingProxyType(
    {
        ClaimState.RUNNING: (Code.REPEAT_RUNNING, Ran.MAY_HAVE_RUN),
        ClaimState.DONE: (Code.REPEAT_DONE, Ran.RAN),
        ClaimState.UNKNOWN: (Code.REPEAT_UNKNOWN, Ran.MAY_HAVE_RUN),
        ClaimState.REFUSED: (Code.REPEAT_REFUSED, Ran.NOT_RUN),
        ClaimState.EXPIRED: (Code.BAD_REQUEST_ID, Ran.MAY_HAVE_RUN),
        ClaimState.FULL: (Code.NODE_BUSY, Ran.MAY_HAVE_RUN),
    },
)


@attrs.frozen
class RequestClaims:
    """Claims ids where they have their home, and settles them there."""

    issued_ids: Claimer
    """Claims of ids that an entry box gave out."""

    caller_ids: Claimer
    """Claims of ids that callers made up."""

    history: History
    """Where claims are noted."""

    async def claim(self, work: PendingRequest) -> ClaimKey | None:
        """Claim the id of a request that may not be repeated.

        Returns
        -------
        ClaimKey or None
            What is to be settled; ``None`` where nothing is claimed.

        Raises
        ------
        Refusal
            When the id was claimed before, or that can't be known now.
        """
        request_id = work.facts.request_id
        if work.facts.repeatable or request_id is None:
            return None
        key = ClaimKey(work.account.name, request_id)
        state = await self._get_claimer(key).claim(key)
        self.history.note(
            'claimed',
            request=request_id,
            state=state.value if state else 'none',
        )
        if state is ClaimState.GRANTED:
            return key
        if state is None:
            raise Refusal(
                Code.CLAIM_UNKNOWN,
                Ran.MAY_HAVE_RUN,
                retry_after=NO_GROUP_RETRY_SECONDS,
            )
        code, ran = _REFUSAL_BY_CLAIM[state]
        raise Refusal(code, ran)

    def settle(self, key: ClaimKey, state: ClaimState) -> None:
        """Tell how the run of a claimed request ended."""
        self._get_claimer(key).settle(key, state)

    def _get_claimer(self, key: ClaimKey) -> Claimer:
        if parse_issued_id(key.request_id) is None:
            return self.caller_ids
        return self.issued_ids
