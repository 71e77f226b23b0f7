"""Metrics: OpenTelemetry is imported late, and no measurement is lost."""

from __future__ import annotations

import subprocess
import sys

import pytest

from waywell.codes import Code, Ran
from waywell.telemetry.metrics import InstrumentKind, InstrumentSpec, Metrics

IMPORT_SCRIPT = """
import asyncio, sys
from twisted.internet import asyncioreactor
asyncioreactor.install(asyncio.new_event_loop())
import waywell.daemon, waywell.platform.adapter, waywell.process.front
late = ('opentelemetry', 'prometheus_client', 'grpclib', 'matplotlib', 'fire')
early = {name.partition('.')[0] for name in sys.modules}
print(sorted(early.intersection(late)))
print([name for name in sys.modules if name in {
    'waywell.version.roster', 'waywell.process.entry',
}])
"""


def read(metrics: Metrics, name: str, *labels: str) -> set[str]:
    """Return the exported values of a metric that have the given labels."""
    return {
        line.rpartition(' ')[2]
        for line in metrics.render().decode().splitlines()
        if line.startswith(f'{name}{{')
        and all(label in line for label in labels)
    }


def make_spec(name: str) -> InstrumentSpec:
    return InstrumentSpec(
        InstrumentKind.HISTOGRAM, name, 'Some time.', (0.1, 1.0)
    )


def test_the_front_daemon_starts_without_unneeded_imports() -> None:
    completed = subprocess.run(
        [sys.executable, '-c', IMPORT_SCRIPT],
        check=True,
        capture_output=True,
        text=True,
    )
    assert completed.stdout.splitlines() == ['[]', '[]']


def test_measurements_before_the_first_scrape_are_exported() -> None:
    metrics = Metrics()
    early = metrics.add_instrument(make_spec('waywell_test_early_seconds'))
    early.record(0.05, {'service': 'notes'})
    metrics.count_request(Code.OK, Ran.RAN)
    metrics.add_gauge(
        'waywell_test_level', 'A level.', 'part', lambda: {'a': 2.5}
    )
    assert read(metrics, 'waywell_requests_total', 'code="0"') == {'1.0'}
    bucket = 'waywell_test_early_seconds_bucket'
    assert read(metrics, bucket, 'service="notes"', 'le="0.1"') == {'1.0'}
    assert read(metrics, 'waywell_test_level', 'part="a"') == {'2.5'}


def test_measurements_after_the_first_scrape_are_exported() -> None:
    metrics = Metrics()
    metrics.load()
    late = metrics.add_instrument(make_spec('waywell_test_late_seconds'))
    late.record(0.5, {'service': 'notes'})
    metrics.add_gauge(
        'waywell_test_late', 'A level.', 'part', lambda: {'b': 1.5}
    )
    bucket = 'waywell_test_late_seconds_bucket'
    assert read(metrics, bucket, 'service="notes"', 'le="1.0"') == {'1.0'}
    assert read(metrics, 'waywell_test_late', 'part="b"') == {'1.5'}


def test_the_buffer_before_the_first_scrape_is_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr('waywell.telemetry.metrics.MAX_PENDING_RECORDINGS', 3)
    metrics = Metrics()
    counter = metrics.add_instrument(
        InstrumentSpec(
            InstrumentKind.COUNTER, 'waywell_test_waiting', 'Words.'
        )
    )
    for _ in range(7):
        counter.record(1, {})
        assert len(counter._pending) < 3
    assert read(metrics, 'waywell_test_waiting_total') == {'7.0'}
