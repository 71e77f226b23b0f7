"""What is counted and timed of requests, by OpenTelemetry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.telemetry.metrics import InstrumentKind, InstrumentSpec

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
"""Upper bounds of the latency histograms, in seconds: closer around the
routes' goals of 0.15 s to 0.5 s, up to their time limits."""


class RequestMetrics:
    """Counts attempts, and times answers.

    Parameters
    ----------
    metrics
        Metrics of this process.
    """

    def __init__(self, metrics: Metrics) -> None:
        """Make the instruments."""
        self._attempts = metrics.add_instrument(
            InstrumentSpec(
                InstrumentKind.COUNTER,
                'waywell_attempts',
                'What became of attempts at replicas, by log event.',
            ),
        )
        self._firsts = metrics.add_instrument(
            InstrumentSpec(
                InstrumentKind.HISTOGRAM,
                'waywell_first_piece_seconds',
                'From the arrival to the first piece passed on.',
                LATENCY_BOUNDS,
            ),
        )
        self._answers = metrics.add_instrument(
            InstrumentSpec(
                InstrumentKind.HISTOGRAM,
                'waywell_answer_seconds',
                'From the arrival to the end of a whole answer.',
                LATENCY_BOUNDS,
            ),
        )

    def count_attempt(self, event: str, service: str) -> None:
        """Count what became of an attempt.

        Parameters
        ----------
        event
            Event of the log line that tells it.
        service
            Service of the request.
        """
        self._attempts.record(1, {'event': event, 'service': service})

    def record_first_piece(self, service: str, seconds: float) -> None:
        """Take in when the first piece of an answer was passed on."""
        self._firsts.record(seconds, {'service': service})

    def record_answer(self, service: str, seconds: float) -> None:
        """Take in when an answer was whole."""
        self._answers.record(seconds, {'service': service})
