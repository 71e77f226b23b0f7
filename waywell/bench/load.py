"""A load tool: ``python -m waywell.bench.load``, a process of its own.

It makes requests on kept connections from a few threads and prints
latencies and counts as one JSON line.
"""

from __future__ import annotations

import json
import sys
import threading
import time
from http.client import HTTPConnection, HTTPException
from typing import Any

import attrs
import fire

from waywell.bench.figures import find_quantile


@attrs.frozen
class LoadSpec:
    """What to ask, how often."""

    hosts: list[tuple[str, int]]
    """Addresses, taken in turn by the workers."""

    path: str
    """Path of each request."""

    headers: dict[str, str]
    """Headers of each request."""

    requests: int
    """Requests of one worker."""

    gap: float
    """Seconds that a worker pauses between two requests."""


@attrs.define
class WorkerResults:
    """What came of the requests."""

    seconds: list[float] = attrs.Factory(list)
    """Time of each whole answer."""

    head_seconds: list[float] = attrs.Factory(list)
    """Time to the head of each whole answer."""

    statuses: dict[int, int] = attrs.Factory(dict)
    """Answers by status; 0 for those cut short."""


def run_worker(
    spec: LoadSpec, worker: int, worker_results: WorkerResults
) -> None:
    """Make the requests of one worker."""
    host, port = spec.hosts[worker % len(spec.hosts)]
    connection = HTTPConnection(host, port, timeout=60)
    for _ in range(spec.requests):
        status = make_request(connection, spec, worker_results)
        worker_results.statuses[status] = (
            worker_results.statuses.get(status, 0) + 1
        )
        if not status:
            connection.close()
        if spec.gap:
            time.sleep(spec.gap)
    connection.close()


def make_request(
    connection: HTTPConnection,
    spec: LoadSpec,
    worker_results: WorkerResults,
) -> int:
    """Make one request; return its status, or 0 when it was cut."""
    started_at = time.perf_counter()
    try:
        status, head_at = read_answer(connection, spec)
    except (OSError, HTTPException):
        return 0
    ended_at = time.perf_counter()
    if status < 300:
        worker_results.head_seconds.append(head_at - started_at)
        worker_results.seconds.append(ended_at - started_at)
    return status


def read_answer(
    connection: HTTPConnection,
    spec: LoadSpec,
) -> tuple[int, float]:
    """Read a whole answer; return its status and when its head came."""
    connection.request('GET', spec.path, headers=spec.headers)
    response = connection.getresponse()
    head_at = time.perf_counter()
    response.read()
    return response.status, head_at


def run_load(spec: LoadSpec, workers: int) -> dict[str, Any]:
    """Run all workers; return the figures."""
    all_results = [WorkerResults() for _ in range(workers)]
    threads = [
        threading.Thread(
            target=run_worker, args=(spec, number, worker_results)
        )
        for number, worker_results in enumerate(all_results)
    ]
    started_at = time.perf_counter()
    for thread in threads:
        thread.start()
    for started in threads:
        started.join()
    wall = time.perf_counter() - started_at
    return summarise_results(all_results, wall)


def summarise_results(
    all_results: list[WorkerResults], wall: float
) -> dict[str, Any]:
    """Return the figures of several workers."""
    seconds = [
        duration
        for worker_results in all_results
        for duration in worker_results.seconds
    ]
    head_seconds = [
        duration
        for worker_results in all_results
        for duration in worker_results.head_seconds
    ]
    statuses: dict[int, int] = {}
    for worker_results in all_results:
        for status, count in worker_results.statuses.items():
            statuses[status] = statuses.get(status, 0) + count
    return {
        'wall': wall,
        'whole': len(seconds),
        'a_second': len(seconds) / wall,
        'median': find_quantile(seconds, 0.5) if seconds else 0,
        'p95': find_quantile(seconds, 0.95) if seconds else 0,
        'p99': find_quantile(seconds, 0.99) if seconds else 0,
        'first_median': find_quantile(head_seconds, 0.5)
        if head_seconds
        else 0,
        'first_p95': find_quantile(head_seconds, 0.95) if head_seconds else 0,
        'statuses': statuses,
    }


def main(
    hosts: str,
    path: str,
    workers: int = 4,
    requests: int = 100,
    gap: float = 0,
    headers: str = '{}',
) -> None:
    """Run a load and print its figures as JSON."""
    pairs = [host.rpartition(':') for host in str(hosts).split('+')]
    spec = LoadSpec(
        hosts=[(host, int(port)) for host, _, port in pairs],
        path=path,
        headers=json.loads(headers) if isinstance(headers, str) else headers,
        requests=requests,
        gap=gap,
    )
    sys.stdout.write(json.dumps(run_load(spec, workers)))


if __name__ == '__main__':
    fire.Fire(main)
