"""Requests that a node forwards through a peer which stops."""

from __future__ import annotations

import signal
from collections import Counter
from threading import Thread
from typing import TYPE_CHECKING, Any

import pytest

from tests.front_harness import WHOLE_STREAM, FrontHarness
from tests.replica_paths import Cut, ReplicaPaths
from tests.unhedged_front import make_routes
from waywell.standins.harness import wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

CUT_NODE = 'front-3'
"""Node without links to replicas, which takes the requests of callers."""

STOPPED_PEER = 'front-1'

STOP_SECONDS = 3.0
"""Seconds from SIGTERM to the forced end of a peer."""

MATCH = ('/match/', '')
"""Path and model of a request that is not idempotent."""

ONCE = ('/once/', 'small')
"""Path and model of a stream that may not be resumed."""

STOCK = ('/stock/', '')
"""Path and model of a request that may run at two replicas."""


class ForwardedRequests:
    """Requests that wait for replicas behind two peers of one node."""

    def __init__(self, front: FrontHarness) -> None:
        self.answers: dict[str, tuple[int, bytes, str | None]] = {}
        self.front = front
        self.paths = ReplicaPaths(front)
        self.node = front.start(CUT_NODE, self.paths.store, 'hall-b')
        front.wait_serving(self.node)
        self.peers = {
            name: front.start(name, stop_within=STOP_SECONDS)
            for name in (STOPPED_PEER, 'front-2')
        }
        for peer in self.peers.values():
            front.wait_serving(peer)
        self.paths.cut(Cut.RESET)
        wait_until(self._is_forwarding, 'requests through peers')
        self.block()
        self._threads: list[Thread] = []

    def block(self) -> None:
        """Let replicas hold all answers back until ``unblock``."""
        for server in self.front.servers.values():
            server.runs.clear()
            server.unblocked.clear()
            server.script.extend(['wait-1'] * 50 if server.members else [])

    def unblock(self) -> None:
        for server in self.front.servers.values():
            server.script.clear()
            server.unblocked.set()

    def send(self, kind: tuple[str, str]) -> None:
        """Send requests until one waits at a replica of the stopped peer."""

        def waits_at_peer() -> bool:
            number = len(self._threads)
            thread = Thread(target=self._call, args=(*kind, number))
            self._threads.append(thread)
            thread.start()
            wait_until(
                lambda: len(self.count_runs()) > number, f'run {number}'
            )
            return self._has_line(
                CUT_NODE,
                'event=attempt ',
                f'request=held-{number} ',
                f'peer={STOPPED_PEER} ',
            )

        wait_until(waits_at_peer, 'a request through the stopped peer')

    def collect(self) -> Counter[int]:
        """Wait for all answers and count them by status."""
        for thread in self._threads:
            thread.join()
        return Counter(status for status, *_rest in self.answers.values())

    def count_runs(self) -> Counter[str]:
        """Return the number of runs by the id of the caller's attempt."""
        return Counter(
            run['X-Request-Attempt-Id']
            for run in self.front.list_runs(*self.front.servers)
        )

    def count_decisions(self, outcome: str) -> int:
        """Return the decisions on resends in the node's metrics."""
        _status, raw = self.front.get(self.node, 'metrics_port', '/metrics')
        lines = [
            line
            for line in raw.decode().splitlines()
            if line.startswith('waywell_resend_decisions_total{')
            and f'outcome="{outcome}"' in line
        ]
        return sum(int(float(line.split()[-1])) for line in lines)

    def _has_line(self, node: str, *parts: str) -> bool:
        log = (self.front.folder / f'{node}.log').read_text(encoding='utf-8')
        return any(
            all(part in line for part in parts) for line in log.splitlines()
        )

    def _is_forwarding(self) -> bool:
        self.front.send_request(self.node, '/notes/1', model='small')
        self.front.send_request(self.node, '/stock/1')
        status, _body, _answer = self.front.send_request(self.node, '/match/1')
        return status == 200 and self._has_line(
            CUT_NODE, 'event=answered ', 'route=match ', 'peer='
        )

    def _call(self, path: str, model: str, number: int) -> None:
        status, body, answer = self.front.send_request(
            self.node,
            f'{path}{number}',
            model,
            X_Request_Attempt_Id=f'held-{number}',
            X_Deadline_Ms='20000',
        )
        ran = answer.getheader('waywell-ran')
        self.answers[f'held-{number}'] = (status, body, ran)


@pytest.fixture
def forwarded(tmp_path: Path) -> Iterator[ForwardedRequests]:
    front = FrontHarness(tmp_path)
    front.add_servers()
    front.store.put('config', 'main', make_routes())
    requests: Any = None
    try:
        requests = ForwardedRequests(front)
        yield requests
    finally:
        if requests is not None:
            requests.paths.close()
        front.close()


@pytest.mark.parametrize('how', [signal.SIGTERM, signal.SIGKILL])
@pytest.mark.parametrize('kind', [MATCH, ONCE])
def test_no_request_that_may_run_once_runs_again_when_its_peer_ends(
    forwarded: ForwardedRequests, kind: tuple[str, str], how: signal.Signals
) -> None:
    """Unsafe requests ran twice when the peer between ended by SIGTERM."""
    earlier = forwarded.count_decisions('not_repeatable')
    forwarded.send(kind)
    peer = forwarded.peers[STOPPED_PEER]
    peer.send_signal(how)
    peer.wait()
    # The answer does not wait for the replica, nor for the deadline.
    wait_until(lambda: forwarded.answers, 'the failure at the caller')
    forwarded.unblock()
    statuses = forwarded.collect()
    assert set(forwarded.count_runs().values()) == {1}
    assert set(statuses) <= {200, 502}
    assert statuses[502]
    decisions = forwarded.count_decisions('not_repeatable')
    assert decisions - earlier == statuses[502]
    for status, body, ran in forwarded.answers.values():
        if status == 502:
            assert ran == 'may_have_run'
        else:
            assert body in {b'the whole answer', WHOLE_STREAM}


def test_a_safe_request_runs_at_a_second_replica_when_its_peer_leaves(
    forwarded: ForwardedRequests,
) -> None:
    earlier = forwarded.count_decisions('allowed')
    forwarded.send(STOCK)
    peer = forwarded.peers[STOPPED_PEER]
    peer.send_signal(signal.SIGTERM)
    peer.wait()
    wait_until(
        lambda: 2 in forwarded.count_runs().values(), 'a second replica'
    )
    forwarded.unblock()
    assert set(forwarded.collect()) == {200}
    assert max(forwarded.count_runs().values()) == 2
    assert forwarded.count_decisions('allowed') > earlier
