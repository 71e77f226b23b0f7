"""Metrics by OpenTelemetry, in the text form that scrapers read.

OpenTelemetry with its exporter is some 90 modules, a tenth of the processor
time of a start, and callers may be waiting for the node.  So it is loaded at
the first scrape; what was counted before waits, and is loaded for as well when
there is much of it.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping
from functools import partial
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from opentelemetry.metrics import CallbackOptions, Meter, Observation

    from waywell.codes import Code, Ran

MetricAttributes = Mapping[str, Any]
"""What a number is counted by."""

MAX_PENDING_RECORDINGS = 4000
"""Words that wait for the first scrape: some minutes of a node's requests, in
less memory than OpenTelemetry itself takes."""


class InstrumentKind(enum.Enum):
    """What an instrument does with a number."""

    COUNTER = 'counter'
    """Adds it up."""

    HISTOGRAM = 'histogram'
    """Counts it among the numbers of its size."""


class InstrumentSpec(msgspec.Struct, frozen=True):
    """An instrument, before it is made."""

    kind: InstrumentKind
    """What it does with a number."""

    name: str
    """Name that scrapers see."""

    description: str
    """What it shows, with its unit."""

    bounds: tuple[float, ...] = ()
    """Upper bounds of a histogram's buckets."""

    def make(self, meter: Meter) -> Callable[[float, Any], None]:
        """Make the instrument; return what takes a number in."""
        if self.kind is InstrumentKind.COUNTER:
            return meter.create_counter(
                self.name, description=self.description
            ).add
        return meter.create_histogram(
            self.name,
            description=self.description,
            explicit_bucket_boundaries_advisory=self.bounds,
        ).record


class _Gauge(msgspec.Struct, frozen=True):
    name: str
    description: str
    attribute: str
    read: Callable[[], Mapping[str, float]]


class Instrument:
    """Takes numbers in, also before OpenTelemetry is loaded.

    Parameters
    ----------
    metrics
        The process's metrics.
    spec
        What it is.
    """

    def __init__(self, metrics: Metrics, spec: InstrumentSpec) -> None:
        """Start without a number."""
        self._metrics = metrics
        self._spec = spec
        self._record: Callable[[float, Any], None] = self._buffer
        self._pending: list[tuple[float, MetricAttributes]] = []

    def record(self, number: float, attributes: MetricAttributes) -> None:
        """Take a number in."""
        self._record(number, attributes)

    def open(self, meter: Meter) -> None:
        """Make the instrument, and give it what was kept."""
        self._record = self._spec.make(meter)
        for number, attributes in self._pending:
            self._record(number, attributes)
        self._pending.clear()

    def _buffer(self, number: float, attributes: MetricAttributes) -> None:
        self._pending.append((number, attributes))
        if len(self._pending) >= MAX_PENDING_RECORDINGS:
            self._metrics.load()


class Metrics:
    """Counts requests and shows gauges."""

    def __init__(self) -> None:
        """Load nothing yet."""
        self._meter: Meter | None = None
        self._instruments: list[Instrument] = []
        self._gauges: list[_Gauge] = []
        self._requests = self.add_instrument(
            InstrumentSpec(
                InstrumentKind.COUNTER,
                'waywell_requests',
                'Requests by result code and by whether they ran.',
            ),
        )

    def add_instrument(self, spec: InstrumentSpec) -> Instrument:
        """Return an instrument of this process."""
        instrument = Instrument(self, spec)
        self._instruments.append(instrument)
        if self._meter is not None:
            instrument.open(self._meter)
        return instrument

    def count_request(self, code: Code, ran: Ran) -> None:
        """Count an ended request."""
        self._requests.record(1, {'code': int(code), 'ran': ran.value})

    def add_gauge(
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
        gauge = _Gauge(name, description, attribute, read)
        self._gauges.append(gauge)
        if self._meter is not None:
            _register_gauge(self._meter, gauge)

    def load(self) -> None:
        """Load OpenTelemetry; give it what was kept."""
        if self._meter is not None:
            return
        self._meter = _open_meter()
        for instrument in self._instruments:
            instrument.open(self._meter)
        for gauge in self._gauges:
            _register_gauge(self._meter, gauge)

    def render(self) -> bytes:
        """Return all metrics in text form."""
        self.load()
        from prometheus_client import (  # noqa: PLC0415
            REGISTRY,
            generate_latest,
        )

        return bytes(generate_latest(REGISTRY))


def _open_meter() -> Meter:
    # Loaded late, as the module says.
    from opentelemetry.exporter.prometheus import (  # noqa: PLC0415
        PrometheusMetricReader,
    )
    from opentelemetry.sdk.metrics import MeterProvider  # noqa: PLC0415

    return MeterProvider([PrometheusMetricReader()]).get_meter('waywell')


def _register_gauge(meter: Meter, gauge: _Gauge) -> None:
    meter.create_observable_gauge(
        gauge.name,
        [partial(_observe, gauge)],
        description=gauge.description,
    )


def _observe(
    gauge: _Gauge,
    _options: CallbackOptions,
) -> Iterable[Observation]:
    from opentelemetry.metrics import Observation  # noqa: PLC0415

    return [
        Observation(number, {gauge.attribute: text})
        for text, number in gauge.read().items()
    ]
