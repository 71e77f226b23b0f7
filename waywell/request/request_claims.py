"""Claims for requests that may run at most once."""

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
"""Retry advice for callers while no group can serve, in seconds."""

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
    """Claims and settles request ids, each where its claim is kept."""

    issued_ids: Claimer
    """Claims ids that an entry box issued, at their home node."""

    caller_ids: Claimer
    """Claims ids that callers made, in the store of the platform."""

    history: History
    """History in which claims are recorded."""

    async def claim(self, work: PendingRequest) -> ClaimKey | None:
        """Claim the id of a request that may not be repeated.

        Returns
        -------
        ClaimKey or None
            Key to settle after the run; ``None`` if the request needs no
            claim.

        Raises
        ------
        Refusal
            If the id was claimed before, or if that can't be determined now.
        """
        request_id = work.facts.request_id
        if work.facts.repeatable or request_id is None:
            return None
        key = ClaimKey(work.account.name, request_id)
        state = await self._get_claimer(key).claim(key)
        self.history.record(
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
        """Report the outcome of a claimed request to its claimer."""
        self._get_claimer(key).settle(key, state)

    def _get_claimer(self, key: ClaimKey) -> Claimer:
        if parse_issued_id(key.request_id) is None:
            return self.caller_ids
        return self.issued_ids
