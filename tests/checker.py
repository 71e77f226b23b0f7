"""Checks of the histories that processes and tests record.

Entry boxes write ``history-*.jsonl``, targets write ``runs-*.jsonl``, and the
tests keep the answers that callers get.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from waywell.standins.harness import Bench

Lines = list[dict[str, Any]]


def list_runs(bench: Bench) -> Lines:
    """Return the runs at all targets."""
    return [
        line
        for line in bench.read_history('runs-*.jsonl')
        if line['event'] == 'run'
    ]


def count_runs(bench: Bench) -> Counter[str]:
    """Return the number of runs of each request id."""
    return Counter(line['request'] for line in list_runs(bench))


def find_repeated(bench: Bench, once: set[str]) -> list[str]:
    """Return the ids in ``once`` that ran more than once."""
    runs = count_runs(bench)
    return [name for name in sorted(once) if runs[name] > 1]


def find_false_refusals(bench: Bench, refusals: Lines) -> list[str]:
    """Return the ids that were refused as not run but did run."""
    runs = count_runs(bench)
    return [
        refusal['request']
        for refusal in refusals
        if refusal['ran'] == 'not_run' and runs[refusal['request']]
    ]


def find_shared_boxes(bench: Bench) -> list[tuple[str, str, str]]:
    """Return boxes that ran for two groups in one epoch or a lower one."""
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


def find_rollbacks(lines: Lines) -> list[dict[str, Any]]:
    """Return the lines where a node used a lower configuration than before."""
    highest: dict[str, int] = {}
    rollbacks = []
    for line in lines:
        number = line.get('configuration')
        if number is None:
            continue
        node = line['node']
        if number < highest.get(node, 0):
            rollbacks.append(line)
        highest[node] = max(number, highest.get(node, 0))
    return rollbacks
