"""Load generator, run as a separate process.

``python -m waywell.bench.load`` sends requests over persistent connections
from several threads and prints latencies and counts as one line of JSON.
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
    """Requests that each worker sends."""

    hosts: list[tuple[str, int]]
    """Hosts and ports, assigned to the workers in rotation."""

    path: str
    """Path of each request."""

    headers: dict[str, str]
    """Headers of each request."""

    requests: int
    """Number of requests of each worker."""

    gap: float
    """Pause of a worker after each request, in seconds."""


@attrs.define
class WorkerResults:
    """Latencies and statuses of the requests of one worker."""

    seconds: list[float] = attrs.Factory(list)
    """Seconds to the end of each complete successful answer."""

    head_seconds: list[float] = attrs.Factory(list)
    """Seconds to the head of each complete successful answer."""

    statuses: dict[int, int] = attrs.Factory(dict)
    """Number of answers by status; 0 stands for incomplete answers."""


def run_worker(
    spec: LoadSpec, worker: int, worker_results: WorkerResults
) -> None:
    """Send the requests of one worker and record the results."""
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
    """Send one request; return its status, or 0 if no answer completed."""
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
    """Send a request and read its answer.

    Returns
    -------
    tuple
        Status, and the time at which the head arrived, in seconds.
    """
    connection.request('GET', spec.path, headers=spec.headers)
    response = connection.getresponse()
    head_at = time.perf_counter()
    response.read()
    return response.status, head_at


def run_load(spec: LoadSpec, workers: int) -> dict[str, Any]:
    """Run all workers; return the summarised results."""
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
    """Return counts and latency quantiles over all workers."""
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
    """Run a load and print the results as JSON.

    ``--hosts`` takes addresses such as ``127.0.0.1:8000``, joined by ``+``;
    ``--headers`` takes a JSON object.
    """
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
