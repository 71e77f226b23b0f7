"""Log lines and a counter of the decisions to send requests again."""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.telemetry.events import log_event
from waywell.telemetry.metrics import InstrumentKind, InstrumentSpec

if TYPE_CHECKING:
    from waywell.request.resend_rule import SendState, SendVerdict
    from waywell.telemetry.metrics import Metrics


class ResendDecisions:
    """Records whether requests were sent again, and if not, why.

    Parameters
    ----------
    metrics
        Metrics of the process.
    """

    def __init__(self, metrics: Metrics) -> None:
        """Add the counter to the metrics of the process."""
        self._decisions = metrics.add_instrument(
            InstrumentSpec(
                InstrumentKind.COUNTER,
                'waywell_resend_decisions',
                'Decisions on attempts after the first, by outcome.',
            ),
        )

    def record(
        self,
        request: str,
        service: str,
        verdict: SendVerdict,
        state: SendState,
        now: float,
        arrived_at: float,
    ) -> None:
        """Record a decision.

        Parameters
        ----------
        request
            Id of the request.
        service
            Service of the request.
        verdict
            Outcome of the decision.
        state
            What was known of the request.
        now
            Current time, in seconds.
        arrived_at
            Time at which the request arrived, in seconds.
        """
        outcome = verdict.value
        self._decisions.record(1, {'outcome': outcome, 'service': service})
        log_event(
            'resend_decided',
            request=request,
            outcome=outcome,
            repeatable=state.may_repeat,
            sends=state.sends,
            rejections=state.rejections,
            max_sends=state.max_sends,
            left=round(state.deadline_at - now, 3),
            age=round(now - arrived_at, 3),
        )
