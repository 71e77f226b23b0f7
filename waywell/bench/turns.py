"""How much of a replica's limit the nodes use, and for which requests.

A replica reports a limit.  Requests for it arrive at random, as many as the
limit allows or three times as many, evenly at all nodes or all at one.  The
figures are the fraction of the limit that is used (``alone`` shows it for n
nodes that each use only an n-th of the limit), the most requests within 4 s
compared with the number allowed, and the fraction of urgent requests among
those sent.
"""

from __future__ import annotations

import itertools
from random import Random
from typing import Any

from waywell.bench.figures import write_figures
from waywell.bench.turn_fleet import PermitFleet
from waywell.ids import HallName

NODES = (2, 9, 69, 195, 350)
"""Numbers of nodes to measure."""

LIMITS = (0.2, 1.0, 20.0)
"""Limits of the replica, in requests a second."""

DEMANDS = (1.0, 3.0)
"""Arrival rates, as multiples of the limit."""

SECONDS = 120.0
"""Duration of a simulation."""

HALLS = 5
"""Number of data halls."""

WINDOW = 4.0
"""Length of the window in which requests are counted, in seconds."""

URGENT = 0.5
"""Fraction of the requests that are urgent."""


def simulate(
    nodes: int,
    limit: float,
    demand: float,
    *,
    is_even: bool,
    seed: int,
) -> dict[str, Any]:
    """Return the figures of one simulation."""
    random = Random(seed)
    fleet = PermitFleet(random)
    for number in range(nodes):
        fleet.add_node(f'n{number}', HallName(f'hall-{number % HALLS}'))
    fleet.update_visible_nodes()
    fleet.report_limit(limit, 0.0)
    names = sorted(fleet.nodes)
    urgent = 0
    now = 0.0
    while now < SECONDS:
        now += random.expovariate(limit * demand)
        fleet.update_issuers(now)
        name = random.choice(names) if is_even else names[0]
        rank = int(random.random() >= URGENT)
        urgent += fleet.request_permit(name, now, rank) and not rank
    sent = len(fleet.sent_at)
    return {
        'nodes': nodes,
        'limit': limit,
        'demand': demand,
        'at': 'all' if is_even else 'one',
        'used': round(sent / (limit * now), 3),
        'alone': 1.0 if is_even else round(1 / nodes, 3),
        'most_in_4s': count_most_in_window(fleet.sent_at),
        'allowed': 6 * limit + 5,
        'urgent': round(urgent / max(1, sent), 3),
    }


def count_most_in_window(sent: list[float]) -> int:
    """Return the largest number of requests within a window."""
    first, most = 0, 0
    for last, moment in enumerate(sent):
        while moment - sent[first] > WINDOW:
            first += 1
        most = max(most, last - first + 1)
    return most


def main() -> None:
    """Run the benchmark."""
    cases = itertools.product(NODES, LIMITS, DEMANDS, (True, False))
    rows = [
        simulate(nodes, limit, demand, is_even=is_even, seed=1)
        for nodes, limit, demand, is_even in cases
    ]
    write_figures('turns', rows)


if __name__ == '__main__':
    main()
