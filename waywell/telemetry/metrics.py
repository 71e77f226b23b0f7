"""OpenTelemetry metrics in the Prometheus text format.

OpenTelemetry and its exporter consist of some 90 modules and take a tenth of
the processor time of a start, while callers may be waiting for the node.  They
are therefore imported at the first scrape, or earlier if many measurements
have been buffered until then.
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
"""Attributes of a measurement, by name."""

MAX_PENDING_RECORDINGS = 4000
"""Measurements of an instrument that are buffered before OpenTelemetry is
imported: some minutes of a node's requests, in less memory than OpenTelemetry
itself takes."""


class InstrumentKind(enum.Enum):
    """Kind of an OpenTelemetry instrument."""

    COUNTER = 'counter'
    """Adds up the measurements."""

    HISTOGRAM = 'histogram'
    """Counts the measurements in buckets by their value."""


class InstrumentSpec(msgspec.Struct, frozen=True):
    """Definition of an instrument."""

    kind: InstrumentKind
    """Kind of the instrument."""

    name: str
    """Name of the metric for scrapers."""

    description: str
    """Description of the metric for scrapers."""

    bounds: tuple[float, ...] = ()
    """Upper bounds of a histogram's buckets; unused for a counter."""

    def make(self, meter: Meter) -> Callable[[float, Any], None]:
        """Create the instrument.

        Returns
        -------
        Callable
            Function that records a number with its attributes.
        """
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
    """Records measurements, buffering them until OpenTelemetry is imported.

    Parameters
    ----------
    metrics
        Metrics of the process.
    spec
        Definition of the instrument.
    """

    def __init__(self, metrics: Metrics, spec: InstrumentSpec) -> None:
        """Create an instrument that buffers its measurements."""
        self._metrics = metrics
        self._spec = spec
        self._record: Callable[[float, Any], None] = self._buffer
        self._pending: list[tuple[float, MetricAttributes]] = []

    def record(self, number: float, attributes: MetricAttributes) -> None:
        """Record a measurement."""
        self._record(number, attributes)

    def open(self, meter: Meter) -> None:
        """Create the OpenTelemetry instrument and flush the buffer to it."""
        self._record = self._spec.make(meter)
        for number, attributes in self._pending:
            self._record(number, attributes)
        self._pending.clear()

    def _buffer(self, number: float, attributes: MetricAttributes) -> None:
        self._pending.append((number, attributes))
        if len(self._pending) >= MAX_PENDING_RECORDINGS:
            self._metrics.load()


class Metrics:
    """Metrics of a process: instruments and gauges."""

    def __init__(self) -> None:
        """Add the counter of requests; OpenTelemetry isn't imported yet."""
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
        """Add an instrument and return it."""
        instrument = Instrument(self, spec)
        self._instruments.append(instrument)
        if self._meter is not None:
            instrument.open(self._meter)
        return instrument

    def count_request(self, code: Code, ran: Ran) -> None:
        """Count a finished request by its result."""
        self._requests.record(1, {'code': int(code), 'ran': ran.value})

    def add_gauge(
        self,
        name: str,
        description: str,
        attribute: str,
        read: Callable[[], Mapping[str, float]],
    ) -> None:
        """Add a gauge whose values are read at each scrape.

        Parameters
        ----------
        name
            Name of the gauge for scrapers.
        description
            Description of the gauge for scrapers.
        attribute
            Name of the gauge's only attribute.
        read
            Function that returns the current values by attribute value.
        """
        gauge = _Gauge(name, description, attribute, read)
        self._gauges.append(gauge)
        if self._meter is not None:
            _register_gauge(self._meter, gauge)

    def load(self) -> None:
        """Import OpenTelemetry unless that is done, and flush the buffers."""
        if self._meter is not None:
            return
        self._meter = _open_meter()
        for instrument in self._instruments:
            instrument.open(self._meter)
        for gauge in self._gauges:
            _register_gauge(self._meter, gauge)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        self.load()
        from prometheus_client import (  # noqa: PLC0415
            REGISTRY,
            generate_latest,
        )

        return bytes(generate_latest(REGISTRY))


def _open_meter() -> Meter:
    # Imported late to shorten the start; see the module's docstring.
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
