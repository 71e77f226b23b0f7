"""Control traffic among entry boxes: what grows with their number.

Entry boxes run as processes of their own, in two halls, without callers.
Measured are messages, bytes, processor time and memory a node, calls at
the platform, the spread of a configuration and the detection of a kill.
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
"""Numbers of entry boxes."""

WINDOW = 10.0
"""Seconds over which an idle system is measured."""

CHANGES = 5
"""Configurations whose spread is measured."""

SETTLE_SECONDS = 15.0
"""Seconds after the start, in which streams are rearranged."""

START_SECONDS = 120.0
"""Seconds for all nodes to start and meet."""

FRAME_BYTES = 80
"""Bytes of HTTP/2, TCP and IP around one message."""


def start_nodes(bench: Bench, count: int) -> list[str]:
    """Start entry boxes in two halls and wait until they know each other."""
    names = [f'node-{number}' for number in range(count)]
    for number, name in enumerate(names):
        bench.start_entry(
            name, hall=f'hall-{number % 2}', top_level={'history': ''}
        )
    bench.start_boxes([BoxSpec('app-1', fenced=False, labels={'pool': 'app'})])
    bench.apply(names[0], make_configuration())
    wait_known(bench, names)
    return names


def wait_known(bench: Bench, names: list[str]) -> None:
    """Wait until nodes know of each other and of no other live one."""
    wait_until(
        lambda: all(count_known(bench, name) == len(names) for name in names),
        'all nodes to know each other',
        seconds=START_SECONDS,
    )


def read_dump(bench: Bench, name: str) -> dict[str, Any]:
    """Return a node's state."""
    return dict(bench.get_admin(name).call('GET', '/v1/dump').read_json())


def count_known(bench: Bench, name: str) -> int:
    """Return how many nodes a node counts as live or leaving."""
    nodes = read_dump(bench, name)['tasks']['gossip']['nodes']
    return sum(node['state'] < 2 for node in nodes)


@attrs.frozen
class Sample:
    """Counters of all nodes at one moment."""

    at: float
    """Seconds of a clock that never goes back."""

    cpu: float
    """Processor time used so far, in seconds."""

    messages: int
    """Peer messages sent and received so far."""

    payload: int
    """Their bytes before framing."""

    calls: int
    """Calls at the platform so far."""

    @property
    def traffic(self) -> int:
        """Return the bytes with framing."""
        return self.payload + self.messages * FRAME_BYTES


def take_sample(bench: Bench, names: list[str]) -> Sample:
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
    """Measure a settled system without callers for a while."""
    before = take_sample(bench, names)
    time.sleep(WINDOW)
    after = take_sample(bench, names)
    passed = after.at - before.at
    shares = len(names) * passed
    memory = [read_memory(bench.entries[name].pid) for name in names]
    return {
        'cpu_percent_a_node': (after.cpu - before.cpu) / shares * 100,
        'messages_a_node_s': (after.messages - before.messages) / shares,
        'kb_a_node_s': (after.traffic - before.traffic) / shares / 1000,
        'memory_median_mb': find_quantile(memory, 0.5),
        'memory_max_mb': max(memory),
        'platform_calls_s': (after.calls - before.calls) / passed,
    }


def measure_changes(bench: Bench, names: list[str]) -> dict[str, float]:
    """Measure configuration changes: their spread and what one costs."""
    before = take_sample(bench, names)
    spread = measure_spread(bench, names)
    # The nodes tell each other which version they have in force.
    time.sleep(2)
    after = take_sample(bench, names)
    shares = len(names) * CHANGES
    return {
        'spread_s': spread,
        'change_kb_a_node': (after.traffic - before.traffic) / shares / 1000,
        'change_cpu_ms_a_node': (after.cpu - before.cpu) / shares * 1000,
    }


def measure_spread(bench: Bench, names: list[str]) -> float:
    """Return the seconds until a version is in force everywhere."""
    slowest = []
    for turn in range(CHANGES):
        began_at = time.monotonic()
        answer = bench.apply(names[0], make_configuration(groups=1 + turn % 2))
        if answer.status != HTTPStatus.OK:
            raise RuntimeError(answer.body)
        number = answer.read_json()['number']
        pending = set(names)
        while pending:
            for name in tuple(pending):
                headers = bench.get_caller(name).call('/services/none').headers
                if int(headers['waywell-configuration']) >= number:
                    pending.discard(name)
        slowest.append(time.monotonic() - began_at)
    return find_quantile(slowest, 0.5)


def measure_detection(bench: Bench, names: list[str]) -> float:
    """Kill the last node; return the seconds until all count it out."""
    victim = names[-1]
    rest = names[:-1]
    bench.entries[victim].kill()
    began_at = time.monotonic()
    wait_known(bench, rest)
    return time.monotonic() - began_at


def measure(count: int) -> dict[str, Any]:
    """Measure a system of some entry boxes."""
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
    """Run the benchmark for several numbers of entry boxes."""
    text = (
        ','.join(map(str, sizes)) if isinstance(sizes, tuple) else str(sizes)
    )
    rows = []
    for size in text.split(','):
        rows.append(measure(int(size)))
        # A long run that breaks off leaves what it has measured.
        write_figures('control', rows)
    notes = {}
    for key in ('cpu_percent_a_node', 'kb_a_node_s', 'memory_median_mb'):
        points = [(row['nodes'], row[key]) for row in rows]
        slope, base = fit_slope(points)
        notes[f'{key}_by_node'] = f'{base:.3f} + {slope:.5f} n'
    write_figures('control', rows, **notes)


if __name__ == '__main__':
    fire.Fire(main)
