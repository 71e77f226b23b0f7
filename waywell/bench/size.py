"""Memory and probing cost of entry boxes with a large roster.

All entries of the box list point to one stand-in target of an unfenced
service, so that the roster has its real size without as many targets.
"""

from __future__ import annotations

import time
from typing import Any

from waywell.bench.figures import (
    fit_slope,
    read_cpu,
    read_memory,
    write_figures,
)
from waywell.standins.harness import Bench, BoxSpec, make_configuration

GROUPS = (0, 60, 600)
"""Numbers of groups to measure."""

GROUP_BOXES = 4
"""Number of boxes in a group."""

PROBE_SECONDS = 15.0
"""Interval between two probes of a group; long because a single target answers
all probes."""

NODES = 2
"""Number of entry boxes; since each group has two probers, both probe every
group."""

PROBE_ROUNDS = 2
"""Number of probe rounds over which processor time is measured."""


def start_nodes(bench: Bench) -> list[str]:
    """Start the entry boxes; return their names."""
    names = [f'entry-{number}' for number in range(NODES)]
    for name in names:
        bench.start_entry(
            name,
            top_level={'history': ''},
            timing={'probe': PROBE_SECONDS, 'evidence': 120},
        )
    return names


def register_boxes(bench: Bench, count: int) -> None:
    """Register boxes that all have the address of one target."""
    spec = BoxSpec('app-1', fenced=False, labels={'pool': 'app'})
    bench.restart_target(spec)
    port = bench.targets['app-1'].ports['port']
    for number in range(count):
        box = BoxSpec(f'box-{number:04}', labels={'pool': 'llm'})
        bench.list_box_at_port(box, port)


def form_groups(bench: Bench, names: list[str], groups: int) -> float:
    """Form groups; return the seconds until all serve on each node."""
    started_at = time.monotonic()
    bench.apply(names[0], make_unfenced_configuration(groups))
    for name in names:
        bench.wait_serving(name, 'llm-main', groups)
    return time.monotonic() - started_at


def measure(groups: int) -> dict[str, Any]:
    """Measure the entry boxes with a number of groups."""
    with Bench() as bench:
        names = start_nodes(bench)
        register_boxes(bench, groups * GROUP_BOXES)
        forming_seconds = form_groups(bench, names, groups)
        time.sleep(PROBE_SECONDS)
        pids = [bench.entries[name].pid for name in names]
        before = sum(map(read_cpu, pids))
        time.sleep(PROBE_SECONDS * PROBE_ROUNDS)
        used = sum(map(read_cpu, pids)) - before
        return {
            'groups': groups,
            'formed_s': forming_seconds,
            'memory_mb': max(map(read_memory, pids)),
            'probes_a_node': groups * GROUP_BOXES * PROBE_ROUNDS,
            'cpu_s_a_node': used / NODES,
        }


def make_unfenced_configuration(groups: int) -> dict[str, Any]:
    """Return a configuration with an unfenced model service."""
    service = [
        {'name': 'llm', 'type': 'model', 'fenced': False},
        {'name': 'app', 'type': 'plain', 'fenced': False},
    ]
    return make_configuration(
        groups=groups,
        boxes_per_group=GROUP_BOXES,
        service=service,
    )


def main() -> None:
    """Run the benchmark."""
    rows = [measure(groups) for groups in GROUPS]
    memory = [(row['groups'], row['memory_mb']) for row in rows]
    probing = [(row['probes_a_node'], row['cpu_s_a_node']) for row in rows]
    kilobytes = fit_slope(memory)[0] * 1000
    milliseconds = fit_slope(probing)[0] * 1000
    write_figures(
        'size',
        rows,
        memory_kb_a_group=round(kilobytes, 2),
        cpu_ms_a_probe=round(milliseconds, 3),
    )


if __name__ == '__main__':
    main()
