"""Cost of control traffic among entry boxes, by the number of boxes.

Each entry box runs as a separate process; they are in two data halls and have
no callers.  The benchmark measures messages, bytes, processor time and memory
per node, calls to the platform, the time until a configuration is in force
everywhere, and the time until a killed node is detected.
"""

from __future__ import annotations

import time
from http import HTTPStatus
from typing import Any

import attrs
import fire

from waywell.bench.figures import (
    find_quantile,
    fit_slope,
    read_cpu,
    read_memory,
    write_figures,
)
from waywell.standins.harness import (
    Bench,
    BoxSpec,
    make_configuration,
    wait_until,
)

SIZES = '2,4,8,16,32'
"""Default numbers of entry boxes, one for each run."""

IDLE_SECONDS = 10.0
"""Duration of the measurement of an idle system."""

CHANGES = 5
"""Number of configuration changes whose spread is measured."""

SETTLE_SECONDS = 15.0
"""Seconds after the start in which nodes rearrange their peer streams."""

START_SECONDS = 120.0
"""Time limit for all nodes to start and learn of each other."""

FRAME_BYTES = 80
"""Overhead of HTTP/2, TCP and IP for one message, in bytes."""


def start_nodes(bench: Bench, count: int) -> list[str]:
    """Start entry boxes in two data halls and wait for full membership."""
    names = [f'node-{number}' for number in range(count)]
    for number, name in enumerate(names):
        bench.start_entry(
            name, hall=f'hall-{number % 2}', top_level={'history': ''}
        )
    bench.start_boxes([BoxSpec('app-1', fenced=False, labels={'pool': 'app'})])
    bench.apply(names[0], make_configuration())
    wait_until_known(bench, names)
    return names


def wait_until_known(bench: Bench, names: list[str]) -> None:
    """Wait until each node counts exactly the named nodes as live."""
    wait_until(
        lambda: all(
            count_live_nodes(bench, name) == len(names) for name in names
        ),
        'all nodes to know each other',
        seconds=START_SECONDS,
    )


def read_dump(bench: Bench, name: str) -> dict[str, Any]:
    """Return the state dump of a node."""
    return dict(bench.get_admin(name).call('GET', '/v1/dump').read_json())


def count_live_nodes(bench: Bench, name: str) -> int:
    """Return the number of nodes that a node considers live or leaving."""
    nodes = read_dump(bench, name)['tasks']['gossip']['nodes']
    return sum(node['state'] < 2 for node in nodes)


@attrs.frozen
class Sample:
    """Counters summed over all nodes at one time."""

    at: float
    """Time of the monotonic clock, in seconds."""

    cpu: float
    """Processor time used so far, in seconds."""

    messages: int
    """Number of peer messages sent and received so far."""

    payload: int
    """Bytes of these messages before framing."""

    calls: int
    """Number of calls to the platform so far."""

    @property
    def traffic(self) -> int:
        """Return the bytes including framing."""
        return self.payload + self.messages * FRAME_BYTES


def read_counters(bench: Bench, names: list[str]) -> Sample:
    """Read the counters of all nodes."""
    links = [read_dump(bench, name)['tasks']['links'] for name in names]
    calls = bench.set_platform_faults()
    return Sample(
        time.monotonic(),
        sum(read_cpu(bench.entries[name].pid) for name in names),
        sum(link['sent'] + link['received'] for link in links),
        sum(link['sent_bytes'] + link['received_bytes'] for link in links),
        calls['reads'] + calls['writes'],
    )


def measure_idle(bench: Bench, names: list[str]) -> dict[str, Any]:
    """Measure a settled system without callers."""
    before = read_counters(bench, names)
    time.sleep(IDLE_SECONDS)
    after = read_counters(bench, names)
    elapsed = after.at - before.at
    node_seconds = len(names) * elapsed
    memory = [read_memory(bench.entries[name].pid) for name in names]
    return {
        'cpu_percent_a_node': (after.cpu - before.cpu) / node_seconds * 100,
        'messages_a_node_s': (after.messages - before.messages) / node_seconds,
        'kb_a_node_s': (after.traffic - before.traffic) / node_seconds / 1000,
        'memory_median_mb': find_quantile(memory, 0.5),
        'memory_max_mb': max(memory),
        'platform_calls_s': (after.calls - before.calls) / elapsed,
    }


def measure_changes(bench: Bench, names: list[str]) -> dict[str, float]:
    """Measure the spread and the cost of configuration changes."""
    before = read_counters(bench, names)
    spread = measure_spread(bench, names)
    # Wait until the nodes have announced the version that they have in force.
    time.sleep(2)
    after = read_counters(bench, names)
    node_changes = len(names) * CHANGES
    return {
        'spread_s': spread,
        'change_kb_a_node': (after.traffic - before.traffic)
        / node_changes
        / 1000,
        'change_cpu_ms_a_node': (after.cpu - before.cpu) / node_changes * 1000,
    }


def measure_spread(bench: Bench, names: list[str]) -> float:
    """Return the median seconds until a version is in force everywhere."""
    spread_seconds = []
    for change in range(CHANGES):
        started_at = time.monotonic()
        answer = bench.apply(
            names[0], make_configuration(groups=1 + change % 2)
        )
        if answer.status != HTTPStatus.OK:
            raise RuntimeError(answer.body)
        number = answer.read_json()['number']
        pending = set(names)
        while pending:
            for name in tuple(pending):
                headers = bench.get_caller(name).call('/services/none').headers
                if int(headers['waywell-configuration']) >= number:
                    pending.discard(name)
        spread_seconds.append(time.monotonic() - started_at)
    return find_quantile(spread_seconds, 0.5)


def measure_detection(bench: Bench, names: list[str]) -> float:
    """Kill the last node; return the seconds until all others notice."""
    victim = names[-1]
    remaining = names[:-1]
    bench.entries[victim].kill()
    started_at = time.monotonic()
    wait_until_known(bench, remaining)
    return time.monotonic() - started_at


def measure(count: int) -> dict[str, Any]:
    """Return all figures of a system with a number of entry boxes."""
    with Bench() as bench:
        names = start_nodes(bench, count)
        time.sleep(SETTLE_SECONDS)
        return {
            'nodes': count,
            **measure_idle(bench, names),
            **measure_changes(bench, names),
            'detection_s': measure_detection(bench, names),
        }


def main(sizes: str = SIZES) -> None:
    """Run the benchmark for each number of entry boxes."""
    text = (
        ','.join(map(str, sizes)) if isinstance(sizes, tuple) else str(sizes)
    )
    rows = []
    for size in text.split(','):
        rows.append(measure(int(size)))
        # Written after each size, so that an aborted run keeps its results.
        write_figures('control', rows)
    notes = {}
    for key in ('cpu_percent_a_node', 'kb_a_node_s', 'memory_median_mb'):
        points = [(row['nodes'], row[key]) for row in rows]
        slope, base = fit_slope(points)
        notes[f'{key}_by_node'] = f'{base:.3f} + {slope:.5f} n'
    write_figures('control', rows, **notes)


if __name__ == '__main__':
    fire.Fire(main)
