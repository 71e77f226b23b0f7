"""Entry boxes that hold the roster of many groups: memory and probing.

All boxes of the list lead to one target stand-in of a service without
fences, so that the size of the roster is real and the targets are not.
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
"""Groups of four boxes."""

GROUP_BOXES = 4
"""Boxes of a group."""

PROBE_SECONDS = 15.0
"""Seconds between two probes of a group; long, as one target answers all."""

NODES = 2
"""Entry boxes; each probes every group, as every group has two probers."""

WINDOWS = 2
"""Rounds of probes over which processor time is measured."""


def start_nodes(bench: Bench) -> list[str]:
    """Start the entry boxes."""
    names = [f'entry-{number}' for number in range(NODES)]
    for name in names:
        bench.start_entry(
            name,
            top_level={'history': ''},
            timing={'probe': PROBE_SECONDS, 'evidence': 120},
        )
    return names


def list_boxes(bench: Bench, count: int) -> None:
    """Put boxes on the box list that all lead to one target."""
    spec = BoxSpec('app-1', fenced=False, labels={'pool': 'app'})
    bench.restart_target(spec)
    port = bench.targets['app-1'].ports['port']
    for number in range(count):
        box = BoxSpec(f'box-{number:04}', labels={'pool': 'llm'})
        bench.list_box_at_port(box, port)


def form_groups(bench: Bench, names: list[str], groups: int) -> float:
    """Form groups; return the seconds until all serve at each node."""
    began_at = time.monotonic()
    bench.apply(names[0], make_unfenced(groups))
    for name in names:
        bench.wait_serving(name, 'llm-main', groups)
    return time.monotonic() - began_at


def measure(groups: int) -> dict[str, Any]:
    """Measure two entry boxes with some groups."""
    with Bench() as bench:
        names = start_nodes(bench)
        list_boxes(bench, groups * GROUP_BOXES)
        formed = form_groups(bench, names, groups)
        time.sleep(PROBE_SECONDS)
        pids = [bench.entries[name].pid for name in names]
        before = sum(map(read_cpu, pids))
        time.sleep(PROBE_SECONDS * WINDOWS)
        used = sum(map(read_cpu, pids)) - before
        return {
            'groups': groups,
            'formed_s': formed,
            'memory_mb': max(map(read_memory, pids)),
            'probes_a_node': groups * GROUP_BOXES * WINDOWS,
            'cpu_s_a_node': used / NODES,
        }


def make_unfenced(groups: int) -> dict[str, Any]:
    """Return a configuration whose model service has no fences."""
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
