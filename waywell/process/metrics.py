"""Metrics by OpenTelemetry, in the text form that scrapers read."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from waywell.codes import Code, Ran


class Metrics:
    """Counts requests and shows gauges."""

    def __init__(self) -> None:
        """Open a meter of this process."""
        provider = MeterProvider([PrometheusMetricReader()])
        self.meter = provider.get_meter('waywell')
        self._requests = self.meter.create_counter(
            'waywell_requests',
            description='Requests by result code and by whether they ran.',
        )

    def count_request(self, code: Code, ran: Ran) -> None:
        """Count an ended request."""
        self._requests.add(1, {'code': int(code), 'ran': ran.value})

    def show(
        self,
        name: str,
        description: str,
        attribute: str,
        read: Callable[[], Mapping[str, float]],
    ) -> None:
        """Show values that are read at each scrape.

        Parameters
        ----------
        name
            Name of the gauge.
        description
            What it shows, with its unit.
        attribute
            Name of its one attribute.
        read
            Returns the values by the attribute's text.
        """
        self.meter.create_observable_gauge(
            name,
            [partial(_observe, attribute, read)],
            description=description,
        )

    def write(self) -> bytes:
        """Return all metrics in text form."""
        return bytes(generate_latest(REGISTRY))


def _observe(
    attribute: str,
    read: Callable[[], Mapping[str, float]],
    _options: CallbackOptions,
) -> Iterable[Observation]:
    return [
        Observation(number, {attribute: text})
        for text, number in read().items()
    ]
