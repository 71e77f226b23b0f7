"""The request path: one entry box against going straight to the target."""

from __future__ import annotations

from typing import Any

from waywell.bench.figures import read_cpu, read_memory, write_figures
from waywell.bench.tool import run_load
from waywell.standins.harness import (
    CALLER_KEY,
    Bench,
    BoxSpec,
    make_configuration,
)

ROUNDS = 3
"""Rounds, straight and through the entry box in turn."""

REQUESTS = 1500
"""Requests of one worker in a round."""

STREAMS = 16
"""Streams at once."""

TOKENS = 400
"""Tokens of one stream."""

AUTH = {'authorization': f'Bearer {CALLER_KEY}'}
"""Headers that name the client account."""


def start_one(bench: Bench) -> tuple[int, int, int]:
    """Start one entry box before one model and one plain target.

    Returns
    -------
    tuple
        Caller port, port of the plain target, process id of the entry.
    """
    bench.start_entry('entry-1', top_level={'history': ''})
    bench.start_boxes(
        [
            BoxSpec('box-1', labels={'pool': 'llm'}),
            BoxSpec('app-1', fenced=False, labels={'pool': 'app'}),
        ],
    )
    bench.apply('entry-1', make_configuration(boxes_per_group=1))
    bench.wait_serving('entry-1', 'llm-main', 1)
    bench.wait_serving('entry-1', 'app-main', 1)
    entry = bench.entries['entry-1']
    app = bench.targets['app-1'].ports['port']
    return entry.ports['caller_port'], app, entry.pid


def measure_small(caller: int, app: int, pid: int) -> dict[str, Any]:
    """Measure small requests, one worker at a time for the latency."""
    straight = run_load([app], '/x', {}, workers=1, requests=REQUESTS)
    through = run_load(
        [caller],
        '/services/app/x',
        AUTH,
        workers=1,
        requests=REQUESTS,
    )
    before = read_cpu(pid)
    full = run_load(
        [caller],
        '/services/app/x',
        AUTH,
        workers=8,
        requests=REQUESTS // 4,
    )
    used = read_cpu(pid) - before
    return {
        'straight_median_ms': straight['median'] * 1000,
        'through_median_ms': through['median'] * 1000,
        'ratio_median': through['median'] / straight['median'],
        'straight_p99_ms': straight['p99'] * 1000,
        'through_p99_ms': through['p99'] * 1000,
        'ratio_p99': through['p99'] / straight['p99'],
        'requests_a_second': full['a_second'],
        'cpu_ms_a_request': used / full['whole'] * 1000,
    }


def measure_streams(caller: int, pid: int) -> dict[str, Any]:
    """Measure tokens of streams through the entry box."""
    headers = {**AUTH, 'standin-tokens': str(TOKENS)}
    before = read_cpu(pid)
    told = run_load(
        [caller],
        '/services/llm/v1/chat',
        headers,
        workers=STREAMS,
        requests=2,
    )
    used = read_cpu(pid) - before
    tokens = told['whole'] * TOKENS
    return {
        'tokens': tokens,
        'tokens_a_second': tokens / told['wall'],
        'cpu_us_a_token': used / tokens * 1e6,
        'first_p95_ms': told['first_p95'] * 1000,
    }


def main() -> None:
    """Run the benchmark."""
    with Bench() as bench:
        caller, app, pid = start_one(bench)
        idle = read_memory(pid)
        rows = [measure_small(caller, app, pid) for _ in range(ROUNDS)]
        write_figures('request', rows, memory_idle_mb=idle)
        streams = [measure_streams(caller, pid) for _ in range(ROUNDS)]
        write_figures('streams', streams, memory_loaded_mb=read_memory(pid))


if __name__ == '__main__':
    main()
