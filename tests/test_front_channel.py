"""The time for which a caller's connection may rest."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from waywell.connection.front import FrontChannel
from waywell.version.routes import CallerLimits


class Bench:
    """A connection with a clock of its own."""

    def __init__(self, idle_seconds: float) -> None:
        self.clock = Clock()
        self.limits = CallerLimits(idle_seconds=idle_seconds)
        self.channel = FrontChannel()
        self.channel.callLater = self.clock.callLater
        self.channel.site = SimpleNamespace(
            backend=SimpleNamespace(get_limits=lambda: self.limits),
            channels=set(),
        )
        self.transport = StringTransport()
        self.channel.makeConnection(self.transport)

    def wait(self, seconds: float) -> None:
        """Let time pass in steps of a tenth of a second."""
        self.clock.pump([0.1] * round(seconds * 10))

    def is_open(self) -> bool:
        return not self.transport.disconnecting


def test_a_connection_is_closed_when_it_rested_for_the_limit() -> None:
    bench = Bench(15.0)
    bench.wait(14.9)
    assert bench.is_open()
    bench.wait(0.2)
    assert not bench.is_open()


@pytest.mark.parametrize('rested', [0.5, 9.9])
def test_a_longer_limit_holds_for_connections_that_rest(rested: float) -> None:
    bench = Bench(10.0)
    bench.wait(rested)
    bench.limits = CallerLimits(idle_seconds=30.0)
    bench.wait(29.9 - rested)
    assert bench.is_open()
    bench.wait(0.2)
    assert not bench.is_open()


def test_bytes_start_the_time_anew_by_the_limit_in_force() -> None:
    bench = Bench(10.0)
    bench.limits = CallerLimits(idle_seconds=30.0)
    bench.wait(15.0)
    bench.channel.dataReceived(b'GET / HT')
    bench.wait(29.9)
    assert bench.is_open()
