"""A front daemon recovers from crowds of callers, freezes and restarts."""

from __future__ import annotations

import signal
import socket
from typing import TYPE_CHECKING

import pytest

from tests.front_harness import WHOLE_STREAM, FrontHarness
from waywell.standins.harness import wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from waywell.standins.harness import Process

IDLE_CONNECTIONS = 200
"""Number of callers that connect at the same moment and send nothing."""


@pytest.fixture
def served(tmp_path: Path) -> Iterator[tuple[FrontHarness, Process]]:
    front = FrontHarness(tmp_path)
    front.add_servers()
    process = front.start()
    front.wait_serving(process)
    yield front, process
    front.close()


def open_idle_connections(process: Process) -> list[socket.socket]:
    """Open connections to a node that stay open and send nothing."""
    address = ('127.0.0.1', process.ports['caller_port'])
    return [socket.create_connection(address) for _ in range(IDLE_CONNECTIONS)]


def test_a_request_is_served_beside_many_idle_connections(
    served: tuple[FrontHarness, Process],
) -> None:
    front, process = served
    idle_connections = open_idle_connections(process)
    assert front.is_ready(process)
    assert front.send_request(process, '/stock/1')[0] == 200
    for connection in idle_connections:
        connection.close()


def test_a_frozen_node_recovers_with_connections_in_its_queue(
    served: tuple[FrontHarness, Process],
) -> None:
    """Connections to a frozen process wait in the kernel's queue."""
    front, process = served
    process.send_signal(signal.SIGSTOP)
    address = ('127.0.0.1', process.ports['caller_port'])
    waiting = [socket.create_connection(address) for _ in range(20)]
    process.send_signal(signal.SIGCONT)
    wait_until(lambda: front.is_ready(process), 'readiness')
    assert front.send_request(process, '/stock/1')[0] == 200
    for connection in waiting:
        connection.close()


def test_a_group_member_restarted_under_its_id_serves_again(
    served: tuple[FrontHarness, Process],
) -> None:
    front, process = served
    head = front.list_heads()[0]
    group = head.get_group()['name']
    member = next(
        server
        for server in front.servers.values()
        if server.get_group().get('name') == group and server is not head
    )
    member.restart()
    wait_until(
        lambda: member.get_group().get('name', group) != group,
        'a later group of the box',
    )
    front.wait_serving(process)
    assert front.send_request(process, '/notes/1', model='small')[:2] == (
        200,
        WHOLE_STREAM,
    )
    assert not front.store.violations


def test_foreign_entries_in_the_store_do_not_affect_boxes(
    served: tuple[FrontHarness, Process],
) -> None:
    front, process = served
    front.store.put('servers', 'odd', {'service': 7, 'address': ':99999'})
    front.store.put('servers', 'odder', None)

    def shows_foreign_entries() -> bool:
        _status, raw = front.get(process, 'metrics_port', '/v1/status')
        return b'"odd"' in raw and b'"odder"' in raw

    wait_until(shows_foreign_entries, 'the foreign entries in the status')
    assert front.count_serving_groups(process) == 2
    assert front.send_request(process, '/notes/1', model='small')[:2] == (
        200,
        WHOLE_STREAM,
    )
