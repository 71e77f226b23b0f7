"""What is counted and timed of requests, by OpenTelemetry."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from opentelemetry.metrics import Meter

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
    meter
        Meter of this process.
    """

    def __init__(self, meter: Meter) -> None:
        """Make the instruments."""
        self._attempts = meter.create_counter(
            'waywell_attempts',
            description='What became of attempts at replicas, by log event.',
        )
        self._firsts = meter.create_histogram(
            'waywell_first_piece_seconds',
            description='From the arrival to the first piece passed on.',
            explicit_bucket_boundaries_advisory=LATENCY_BOUNDS,
        )
        self._answers = meter.create_histogram(
            'waywell_answer_seconds',
            description='From the arrival to the end of a whole answer.',
            explicit_bucket_boundaries_advisory=LATENCY_BOUNDS,
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
        self._attempts.add(1, {'event': event, 'service': service})

    def time_first(self, service: str, seconds: float) -> None:
        """Take in when the first piece of an answer was passed on."""
        self._firsts.record(seconds, {'service': service})

    def time_answer(self, service: str, seconds: float) -> None:
        """Take in when an answer was whole."""
        self._answers.record(seconds, {'service': service})
