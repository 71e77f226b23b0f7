"""A replica that has left gets requests again after a reader's short outage.

The check covers the requests that callers send to the other nodes only.
"""

from __future__ import annotations

import os
import sys
import threading
import time
from pathlib import Path

from review.standins import (
    Answer,
    Deployment,
    Node,
    StoreLink,
    call,
    run_case,
)

TROUBLED = os.environ.get('TROUBLE', '1') != '0'
"""Whether the disruption is played."""

DRAIN_SECONDS = 2.0
"""``drain_timeout_ms`` of the sheet."""

LINGER_SECONDS = 0.45
"""How much longer a replica serves ("plus a little longer")."""

WORK_SECONDS = 0.18
"""Within the times of a price lookup: 45 ms, some five times as long."""

CUT_SECONDS = 0.25
LEAVES_AFTER = 0.05
CALLERS = 4
LEAVERS = ('i-a1', 'i-a2', 'i-a3')


class _Callers:
    """Callers that send one request after the other to some nodes."""

    def __init__(self, deployment: Deployment, nodes: list[Node]) -> None:
        self.answers: list[Answer] = []
        self._deployment = deployment
        self._is_stopped = False
        self._threads = [
            threading.Thread(
                target=self._run, args=(node, number), daemon=True
            )
            for node in nodes
            for number in range(CALLERS)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Wait for the last answers."""
        self._is_stopped = True
        for thread in self._threads:
            thread.join()

    def _run(self, node: Node, caller: int) -> None:
        number = 0
        while not self._is_stopped:
            number += 1
            answer = call(
                self._deployment.record,
                node,
                f'{node.name}-c{caller}-{number}',
                '/price/1',
                {'work_seconds': WORK_SECONDS},
                1000,
            )
            self.answers.append(answer)
            time.sleep(0.02)


def _play_round(
    deployment: Deployment, reader: str, link: StoreLink, name: str
) -> float:
    """Let a replica leave silently; return when its entry went."""
    record = deployment.record
    leaver = deployment.replicas[name]
    if TROUBLED:
        link.cut()
        record.write(f'{reader} is partitioned from the store')
    time.sleep(LEAVES_AFTER)
    leaver.leave_silently()
    left_at = time.monotonic()
    record.write(f'the entry of {name} has gone; it serves on')
    time.sleep(CUT_SECONDS - LEAVES_AFTER)
    if TROUBLED:
        link.heal()
        record.write(f'{reader} reaches the store again')
    ends_at = left_at + DRAIN_SECONDS + LINGER_SECONDS
    time.sleep(ends_at - time.monotonic())
    leaver.close()
    record.write(f'{name} ends')
    return left_at


def _count_late(deployment: Deployment, name: str, left_at: float) -> int:
    """Record the requests that reached a replica after the bound."""
    late = [
        run
        for run in deployment.replicas[name].runs
        if run.at > left_at + DRAIN_SECONDS
    ]
    for run in late:
        seconds = run.at - left_at
        deployment.record.write(
            f'{run.attempt} reached {name} {seconds:.3f} s after its entry '
            'had gone'
        )
    deployment.record.write(f'{name}: {len(late)} late requests')
    return len(late)


def _play(deployment: Deployment) -> bool:
    reader = deployment.nodes[0].find_reader()
    deployment.record.write(f'{reader} reads the store for its zone')
    links = dict(zip(deployment.nodes, deployment.links, strict=True))
    [own] = [link for node, link in links.items() if node.name == reader]
    callers = _Callers(
        deployment, [node for node in links if node.name != reader]
    )
    time.sleep(1.0)
    late = 0
    for name in LEAVERS:
        left_at = _play_round(deployment, reader, own, name)
        time.sleep(1.0)
        late += _count_late(deployment, name, left_at)
        # The reader is in touch again before the next round.
        time.sleep(3.0)
    callers.stop()
    lost = [answer for answer in callers.answers if answer.status != 200]
    for answer in lost:
        runs = deployment.list_runs(answer.attempt)
        places = ','.join(run.replica for run in runs)
        deployment.record.write(
            f'{answer.attempt}: {answer.status}, run by {places or "none"}'
        )
    deployment.record.write(f'{late} late requests in all')
    return not late


if __name__ == '__main__':
    sys.exit(run_case(Path(__file__).parent, 3, _play))
