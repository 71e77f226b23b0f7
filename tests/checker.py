"""Judges histories: what was asked, sent, run and answered.

The histories are those of the entry boxes (``history-*.jsonl``), of the
targets (``runs-*.jsonl``) and of the callers (kept by the tests).
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from waywell.standins.harness import Bench

Lines = list[dict[str, Any]]


def list_runs(bench: Bench) -> Lines:
    """Return every run at every target."""
    return [
        line
        for line in bench.read_history('runs-*.jsonl')
        if line['event'] == 'run'
    ]


def count_runs(bench: Bench) -> Counter[str]:
    """Return how often each request id ran."""
    return Counter(line['request'] for line in list_runs(bench))


def find_repeated(bench: Bench, once: set[str]) -> list[str]:
    """Return the ids that had to run at most once and ran more often."""
    runs = count_runs(bench)
    return [name for name in sorted(once) if runs[name] > 1]


def find_false_refusals(bench: Bench, refusals: Lines) -> list[str]:
    """Return the ids that were refused as not run but have run."""
    runs = count_runs(bench)
    return [
        refusal['request']
        for refusal in refusals
        if refusal['ran'] == 'not_run' and runs[refusal['request']]
    ]


def find_shared_boxes(bench: Bench) -> list[tuple[str, str, str]]:
    """Return boxes that ran for two groups under one or falling epochs."""
    found = []
    for name in bench.targets:
        last = ('', 0)
        for line in bench.read_history(f'runs-{name}.jsonl'):
            if line['event'] != 'run' or not line['epoch']:
                continue
            epoch = int(line['epoch'])
            group = line['group']
            if epoch < last[1] or (epoch == last[1] and group != last[0]):
                found.append((name, last[0], group))
            last = (group, epoch)
    return found


def find_lowered(lines: Lines) -> list[dict[str, Any]]:
    """Return events at which a node served by a lower configuration."""
    highest: dict[str, int] = {}
    lowered = []
    for line in lines:
        number = line.get('configuration')
        if number is None:
            continue
        node = line['node']
        if number < highest.get(node, 0):
            lowered.append(line)
        highest[node] = max(number, highest.get(node, 0))
    return lowered
