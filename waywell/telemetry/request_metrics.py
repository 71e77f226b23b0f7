"""Counters and latency histograms of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.telemetry.metrics import InstrumentKind, InstrumentSpec
from waywell.telemetry.resend_decisions import ResendDecisions

if TYPE_CHECKING:
    from waywell.telemetry.metrics import Metrics

LATENCY_BOUNDS = (
    0.025,
    0.05,
    0.1,
    0.15,
    0.2,
    0.3,
    0.4,
    0.5,
    0.75,
    1.0,
    1.5,
    2.0,
    3.0,
    5.0,
    8.0,
)
"""Upper bounds of the buckets of latency histograms, in seconds.  The buckets
are narrower around the routes' goals of 0.15 s to 0.5 s and extend to their
timeouts."""


class RequestMetrics:
    """Records attempts at replicas and the latencies of answers.

    Parameters
    ----------
    metrics
        Metrics of the process.
    """

    def __init__(self, metrics: Metrics) -> None:
        """Add the instruments to the metrics of the process."""
        self.resends = ResendDecisions(metrics)
        self._attempts = metrics.add_instrument(
            InstrumentSpec(
                InstrumentKind.COUNTER,
                'waywell_attempts',
                'What became of attempts at replicas, by log event.',
            ),
        )
        self._first_piece_times = metrics.add_instrument(
            InstrumentSpec(
                InstrumentKind.HISTOGRAM,
                'waywell_first_piece_seconds',
                'From the arrival to the first piece passed on.',
                LATENCY_BOUNDS,
            ),
        )
        self._answer_times = metrics.add_instrument(
            InstrumentSpec(
                InstrumentKind.HISTOGRAM,
                'waywell_answer_seconds',
                'From the arrival to the end of a whole answer.',
                LATENCY_BOUNDS,
            ),
        )

    def count_attempt(self, event: str, service: str) -> None:
        """Count an attempt by its outcome.

        Parameters
        ----------
        event
            Name of the log event of the outcome.
        service
            Service of the request.
        """
        self._attempts.record(1, {'event': event, 'service': service})

    def record_first_piece(self, service: str, seconds: float) -> None:
        """Record the seconds until the first piece of an answer was sent."""
        self._first_piece_times.record(seconds, {'service': service})

    def record_answer(self, service: str, seconds: float) -> None:
        """Record the seconds until an answer was complete."""
        self._answer_times.record(seconds, {'service': service})
