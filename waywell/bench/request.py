"""Cost of the request path: through an entry box or directly to the target."""

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
"""Number of rounds; each measures both direct and proxied requests."""

REQUESTS = 1500
"""Number of requests of one worker in a round."""

STREAMS = 16
"""Number of concurrent streams."""

TOKENS = 400
"""Number of tokens in one stream."""

AUTH = {'authorization': f'Bearer {CALLER_KEY}'}
"""Headers that authenticate the client account."""


def start_system(bench: Bench) -> tuple[int, int, int]:
    """Start one entry box with one model target and one plain target.

    Returns
    -------
    tuple
        Caller port of the entry box, port of the plain target, and process
        id of the entry box.
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
    """Measure small requests: latency with 1 worker, throughput with 8."""
    direct = run_load([app], '/x', {}, workers=1, requests=REQUESTS)
    proxied = run_load(
        [caller],
        '/services/app/x',
        AUTH,
        workers=1,
        requests=REQUESTS,
    )
    before = read_cpu(pid)
    loaded = run_load(
        [caller],
        '/services/app/x',
        AUTH,
        workers=8,
        requests=REQUESTS // 4,
    )
    used = read_cpu(pid) - before
    return {
        'straight_median_ms': direct['median'] * 1000,
        'through_median_ms': proxied['median'] * 1000,
        'ratio_median': proxied['median'] / direct['median'],
        'straight_p99_ms': direct['p99'] * 1000,
        'through_p99_ms': proxied['p99'] * 1000,
        'ratio_p99': proxied['p99'] / direct['p99'],
        'requests_a_second': loaded['a_second'],
        'cpu_ms_a_request': used / loaded['whole'] * 1000,
    }


def measure_streams(caller: int, pid: int) -> dict[str, Any]:
    """Measure the throughput of streams through the entry box."""
    headers = {**AUTH, 'standin-tokens': str(TOKENS)}
    before = read_cpu(pid)
    figures = run_load(
        [caller],
        '/services/llm/v1/chat',
        headers,
        workers=STREAMS,
        requests=2,
    )
    used = read_cpu(pid) - before
    tokens = figures['whole'] * TOKENS
    return {
        'tokens': tokens,
        'tokens_a_second': tokens / figures['wall'],
        'cpu_us_a_token': used / tokens * 1e6,
        'first_p95_ms': figures['first_p95'] * 1000,
    }


def main() -> None:
    """Run the benchmark."""
    with Bench() as bench:
        caller, app, pid = start_system(bench)
        idle = read_memory(pid)
        rows = [measure_small(caller, app, pid) for _ in range(ROUNDS)]
        write_figures('request', rows, memory_idle_mb=idle)
        streams = [measure_streams(caller, pid) for _ in range(ROUNDS)]
        write_figures('streams', streams, memory_loaded_mb=read_memory(pid))


if __name__ == '__main__':
    main()
