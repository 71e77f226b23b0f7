"""Behaviour of real processes with a slow replica, failures and a flood."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import fire

from waywell.bench.figures import write_figures
from waywell.bench.tool import finish_load, start_load
from waywell.standins.harness import (
    CALLER_KEY,
    Bench,
    BoxSpec,
    hash_text,
    make_configuration,
)

if TYPE_CHECKING:
    import subprocess

LOAD_PATH = '/services/llm/x'
"""Path of the requests to the model service."""

BOXES = 6
"""Number of replicas, each of one box."""

NORMAL_SECONDS = 0.02
"""Duration of an answer of a healthy replica."""

SLOW_SECONDS = 0.4
"""Duration of an answer of the slow replica."""

CHOICES = ('product', 'random', 'least_in_flight')
"""Group selections to compare, by their names in ``baselines``."""

FLOOD_KEY = 'flood-key'
"""API key of the client account that floods the service."""

AUTH = {'authorization': f'Bearer {CALLER_KEY}'}
"""Headers of the other client account."""


def start_entry_load(
    bench: Bench,
    entries: list[str],
    headers: dict[str, str],
    **options: Any,
) -> subprocess.Popen[bytes]:
    """Start a load on the model service through entry boxes."""
    ports = [bench.entries[name].ports['caller_port'] for name in entries]
    return start_load(ports, LOAD_PATH, headers, **options)


def start_system(
    bench: Bench,
    choice: str = 'product',
    **changes: Any,
) -> list[str]:
    """Start two entry boxes and six replicas; return the entry boxes."""
    names = ['entry-1', 'entry-2']
    for name in names:
        bench.start_entry(
            name,
            top_level={'history': ''},
            module=['waywell.bench.baselines', choice],
            limits={'requests': 64},
        )
    specs = [
        BoxSpec(f'b{number}', labels={'pool': 'llm'})
        for number in range(BOXES)
    ]
    bench.start_boxes(specs)
    for spec in specs:
        bench.set_target_faults(spec.name, slow=NORMAL_SECONDS)
    bench.apply(
        names[0],
        make_configuration(groups=BOXES, boxes_per_group=1, **changes),
    )
    for name in names:
        bench.wait_serving(name, 'llm-main', BOXES)
    return names


def count_runs(bench: Bench) -> dict[str, int]:
    """Return the number of requests that each replica has run."""
    return {
        name: sum(bench.set_target_faults(name).values())
        for name in bench.targets
    }


def measure_slow(choice: str) -> dict[str, Any]:
    """Measure a load while one replica is slow and after it recovers."""
    with Bench() as bench:
        names = start_system(bench, choice)
        bench.set_target_faults('b0', slow=SLOW_SECONDS)
        figures = finish_load(
            start_entry_load(bench, names, AUTH, workers=12, requests=150),
        )
        runs = count_runs(bench)
        bench.set_target_faults('b0', slow=NORMAL_SECONDS)
        finish_load(
            start_entry_load(bench, names, AUTH, workers=12, requests=600)
        )
        later = count_runs(bench)
        share = (later['b0'] - runs['b0']) / (
            sum(later.values()) - sum(runs.values())
        )
        return {
            'choice': choice,
            'median_ms': figures['median'] * 1000,
            'p95_ms': figures['p95'] * 1000,
            'p99_ms': figures['p99'] * 1000,
            'a_second': figures['a_second'],
            'share_of_slow': runs['b0'] / sum(runs.values()),
            'share_when_well': share,
        }


def measure_failing() -> dict[str, Any]:
    """Measure the extra load by retries when every target fails."""
    with Bench() as bench:
        names = start_system(bench)
        for name in bench.targets:
            bench.set_target_faults(name, close_after_read=True)
        figures = finish_load(
            start_entry_load(bench, names, AUTH, workers=8, requests=250),
        )
        requests = sum(figures['statuses'].values())
        attempts = sum(count_runs(bench).values())
        return {
            'requests': requests,
            'attempts': attempts,
            'extra': attempts / requests - 1,
            'statuses': json.dumps(figures['statuses']),
        }


def measure_flood(flooding: bool) -> dict[str, Any]:
    """Measure a small client account, alone or beside a flooding one."""
    accounts = [
        {'name': 'desk', 'key_hashes': [hash_text(CALLER_KEY)]},
        {'name': 'flood', 'key_hashes': [hash_text(FLOOD_KEY)]},
    ]
    with Bench() as bench:
        names = start_system(bench, account=accounts)
        for name in bench.targets:
            bench.set_target_faults(name, slow=0.3)
        flood = None
        if flooding:
            headers = {'authorization': f'Bearer {FLOOD_KEY}'}
            flood = start_entry_load(
                bench,
                names,
                headers,
                workers=200,
                requests=25,
                gap=0.05,
            )
        figures = finish_load(
            start_entry_load(bench, names, AUTH, workers=8, requests=15),
        )
        flood_figures: dict[str, Any] = {'whole': 0, 'statuses': {}}
        if flood is not None:
            flood_figures = finish_load(flood)
        return {
            'flood': flooding,
            'small_whole': figures['whole'],
            'small_asked': sum(figures['statuses'].values()),
            'small_p95_ms': figures['p95'] * 1000,
            'flood_whole': flood_figures['whole'],
            'flood_refused': sum(flood_figures['statuses'].values())
            - flood_figures['whole'],
        }


def main() -> None:
    """Run the benchmarks of slow replicas, failures and floods."""
    write_figures('slow', [measure_slow(choice) for choice in CHOICES])
    write_figures('failing', [measure_failing()])
    write_figures(
        'flood', [measure_flood(flooding) for flooding in (False, True)]
    )


if __name__ == '__main__':
    fire.Fire(main)
