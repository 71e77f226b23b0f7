"""Decision of the entry daemon whether to send a request again."""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.request.resend_rule import SendVerdict, check_send

if TYPE_CHECKING:
    from waywell.request.guard import RequestGuard
    from waywell.request.retry import RetryBudget
    from waywell.request.submission import PendingRequest
    from waywell.telemetry.resend_decisions import ResendDecisions


class RetryPolicy:
    """Decides whether a request is sent again after a failed attempt.

    Parameters
    ----------
    budget
        Retries that each client account has left.
    guard
        Holds back requests that crash targets.
    decisions
        Log and counter of the decisions.
    """

    def __init__(
        self,
        budget: RetryBudget,
        guard: RequestGuard,
        decisions: ResendDecisions,
    ) -> None:
        """Keep the collaborators."""
        self._budget = budget
        self._guard = guard
        self._decisions = decisions

    def may_retry(self, work: PendingRequest, now: float) -> bool:
        """Return whether a request may be sent again, and record why not.

        Parameters
        ----------
        work
            Request whose last attempt has failed.
        now
            Current time, in seconds.
        """
        verdict = self._decide(work, now)
        self._decisions.record(
            work.facts.request_id or '',
            work.service.name,
            verdict,
            work.make_send_state(),
            now,
            work.arrived_at,
        )
        return verdict is SendVerdict.ALLOWED

    def _decide(self, work: PendingRequest, now: float) -> SendVerdict:
        verdict = check_send(work.make_send_state(), now)
        if verdict is not SendVerdict.ALLOWED:
            return verdict
        if not self._guard.may_send(work.traits, 0, now):
            return SendVerdict.HELD_BACK
        # An attempt that reached no target costs nothing.
        if work.sends and not self._budget.spend(work.account.name):
            return SendVerdict.NO_BUDGET
        return SendVerdict.ALLOWED
