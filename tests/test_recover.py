"""A front daemon goes on: callers crowd in, it stands still, boxes return."""

from __future__ import annotations

import signal
import socket
from typing import TYPE_CHECKING

import pytest

from tests.front_bench import WHOLE, Front
from waywell.standins.harness import wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from waywell.standins.harness import Process

CROWD = 200
"""Callers that connect at one moment and send nothing."""


@pytest.fixture
def served(tmp_path: Path) -> Iterator[tuple[Front, Process]]:
    front = Front(tmp_path)
    front.add_servers()
    process = front.start()
    front.wait_serving(process)
    yield front, process
    front.close()


def crowd_in(process: Process) -> list[socket.socket]:
    """Open connections that are kept and send nothing."""
    address = ('127.0.0.1', process.ports['caller_port'])
    return [socket.create_connection(address) for _ in range(CROWD)]


def test_a_ready_node_takes_a_new_connection_beside_a_crowd(
    served: tuple[Front, Process],
) -> None:
    front, process = served
    crowd = crowd_in(process)
    assert front.is_ready(process)
    assert front.ask(process, '/stock/1')[0] == 200
    for one in crowd:
        one.close()


def test_a_node_that_stood_still_takes_those_who_came_meanwhile(
    served: tuple[Front, Process],
) -> None:
    """Their connections wait in the machine's queue until it goes on."""
    front, process = served
    process.send_signal(signal.SIGSTOP)
    address = ('127.0.0.1', process.ports['caller_port'])
    waiting = [socket.create_connection(address) for _ in range(20)]
    process.send_signal(signal.SIGCONT)
    wait_until(lambda: front.is_ready(process), 'readiness')
    assert front.ask(process, '/stock/1')[0] == 200
    for one in waiting:
        one.close()


def test_a_member_that_starts_again_under_its_id_serves_again(
    served: tuple[Front, Process],
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
    assert front.ask(process, '/notes/1', model='small')[:2] == (200, WHOLE)
    assert not front.store.violations


def test_a_foreign_entry_beside_them_disturbs_no_box(
    served: tuple[Front, Process],
) -> None:
    front, process = served
    front.store.put('servers', 'odd', {'service': 7, 'address': ':99999'})
    front.store.put('servers', 'odder', None)

    def knows_foreign() -> bool:
        _status, raw = front.get(process, 'metrics_port', '/v1/status')
        return b'"odd"' in raw and b'"odder"' in raw

    wait_until(knows_foreign, 'the foreign entries in the status')
    assert front.read_serving(process) == 2
    assert front.ask(process, '/notes/1', model='small')[:2] == (200, WHOLE)
