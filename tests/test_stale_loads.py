"""Replica choice by load reports older than the time to fill a replica.

The tests guard against many nodes choosing the same replica.  195 nodes in
five halls sent streams of 1.2 s to 21 groups of one model with seven places
each, some of them just opened, and knew other nodes' requests as of 0.7 s
before.  Each node compared four groups and chose the least loaded, so most
nodes of a hall chose the same one: some groups got 42 requests in a second and
some 5, and full groups rejected 665 requests in 9 s.
"""

from __future__ import annotations

import heapq
from collections import Counter, deque
from random import Random

import attrs
import msgspec
import pytest

from tests.boxes import make_box
from waywell.ids import Epoch, HallName
from waywell.request.placement import ReplicaChooser
from waywell.request.replica_table import ReplicaTable
from waywell.version.fleet import BoxLife, Replica, ReplicaKey

STREAM_SECONDS = 1.2
LAG_SECONDS = 0.7
SNAPSHOT_SECONDS = 0.1
WARMUP_SECONDS = 3.0
END_SECONDS = 12.0


class DelayedLoads:
    """Requests of other nodes as of some time ago."""

    def __init__(self) -> None:
        self.loads: dict[BoxLife, int] = {}

    def get(self, box: BoxLife) -> int:
        return self.loads.get(box, 0)


class Node:
    """Node that chooses replicas for its requests."""

    def __init__(self, hall: str, nodes: int, seed: int) -> None:
        self.hall = HallName(hall)
        self.table = ReplicaTable()
        self.loads = DelayedLoads()
        self.own_requests: Counter[BoxLife] = Counter()
        self.chooser = ReplicaChooser(
            self.hall,
            self.loads,  # type: ignore[arg-type]
            Random(seed),
            lambda: nodes,
        )


@attrs.frozen
class Site:
    """Data halls with nodes and replicas."""

    halls: int
    nodes: int
    replicas: int
    places: int
    missing: int = 0
    """Number of replicas that the first hall has less than the others."""

    def make_replicas(self) -> list[Replica]:
        return [
            Replica(ReplicaKey(box.box, Epoch(1)), box)
            for hall in range(self.halls)
            for number in range(self.replicas - (0 if hall else self.missing))
            for box in [
                msgspec.structs.replace(
                    make_box(f'r{hall}-{number}'),
                    hall=HallName(f'h{hall}'),
                    places=self.places,
                ),
            ]
        ]

    def make_nodes(self) -> list[Node]:
        count = self.halls * self.nodes
        return [
            Node(f'h{hall}', count, hall * 100 + number)
            for hall in range(self.halls)
            for number in range(self.nodes)
        ]


@attrs.define
class Outcome:
    """Counts of requests after the warm-up."""

    sent: int = 0
    queued: int = 0
    left_hall: int = 0

    def get_queued_share(self) -> float:
        return self.queued / self.sent

    def get_left_hall_share(self) -> float:
        return self.left_hall / self.sent


class Simulation:
    """Requests that arrive at random and occupy places for a while."""

    def __init__(self, site: Site, seed: int) -> None:
        self.replicas = site.make_replicas()
        self.nodes = site.make_nodes()
        self.random = Random(seed)
        self.in_flight: Counter[BoxLife] = Counter()
        self.ends: list[tuple[float, int, ReplicaKey]] = []
        self.snapshots: deque[
            tuple[float, Counter[BoxLife], list[Counter[BoxLife]]]
        ]
        self.snapshots = deque()
        self.outcome = Outcome()

    def run(self, load: float) -> Outcome:
        """Simulate some seconds at a load given as a share of the places."""
        places = sum(replica.head.places for replica in self.replicas)
        rate = load * places / STREAM_SECONDS
        now = 0.0
        while now < END_SECONDS:
            now += self.random.expovariate(rate)
            self.end_requests(now)
            self.publish_loads(now)
            self.send(now)
        return self.outcome

    def end_requests(self, now: float) -> None:
        while self.ends and self.ends[0][0] <= now:
            _at, index, key = heapq.heappop(self.ends)
            self.in_flight[key.life] -= 1
            self.nodes[index].own_requests[key.life] -= 1
            self.nodes[index].table.record_end(key)

    def publish_loads(self, now: float) -> None:
        if (
            not self.snapshots
            or now - self.snapshots[-1][0] >= SNAPSHOT_SECONDS
        ):
            own_requests = [Counter(node.own_requests) for node in self.nodes]
            self.snapshots.append((now, Counter(self.in_flight), own_requests))
        while (
            len(self.snapshots) > 1
            and self.snapshots[1][0] <= now - LAG_SECONDS
        ):
            self.snapshots.popleft()

    def send(self, now: float) -> None:
        index = self.random.randrange(len(self.nodes))
        node = self.nodes[index]
        _at, in_flight, own_requests = self.snapshots[0]
        node.loads.loads = {
            box: max(0, count - own_requests[index][box])
            for box, count in in_flight.items()
        }
        chosen = node.chooser.choose(
            self.replicas, frozenset(), node.table, now
        )
        assert chosen is not None
        box = chosen.key.life
        queue = max(0, self.in_flight[box] + 1 - chosen.head.places)
        if now > WARMUP_SECONDS:
            self.outcome.sent += 1
            self.outcome.queued += queue > 0
            self.outcome.left_hall += chosen.head.hall != node.hall
        slowdown = 1.0 + queue / chosen.head.places
        duration = self.random.expovariate(1 / STREAM_SECONDS) * slowdown
        self.in_flight[box] += 1
        node.own_requests[box] += 1
        node.table.record_start(chosen.key)
        heapq.heappush(self.ends, (now + duration, index, chosen.key))


LARGE = Site(halls=5, nodes=39, replicas=5, places=7)
LARGE_SMALL_MODEL = Site(halls=5, nodes=39, replicas=18, places=7)
GROWN = Site(halls=3, nodes=23, replicas=2, places=17)
USUAL = Site(halls=3, nodes=3, replicas=3, places=9)


@pytest.mark.parametrize(
    ('site', 'limit'),
    [(LARGE, 0.12), (LARGE_SMALL_MODEL, 0.12), (GROWN, 0.03), (USUAL, 0.03)],
)
def test_few_requests_meet_a_full_replica_while_others_have_free_places(
    site: Site, limit: float
) -> None:
    outcome = Simulation(site, 1).run(0.6)
    assert outcome.get_queued_share() < limit


@pytest.mark.parametrize(
    ('site', 'limit'),
    [
        (Site(halls=3, nodes=23, replicas=3, places=17, missing=2), 0.08),
        (Site(halls=5, nodes=39, replicas=5, places=7, missing=3), 0.13),
        (Site(halls=3, nodes=3, replicas=3, places=9, missing=2), 0.08),
    ],
)
def test_requests_of_a_hall_with_few_replicas_are_served_in_other_halls(
    site: Site,
    limit: float,
) -> None:
    """Most groups of one hall are lost while its requests stay as many."""
    assert Simulation(site, 1).run(0.6).get_queued_share() < limit


@pytest.mark.parametrize('site', [LARGE, USUAL])
def test_most_requests_stay_in_their_hall(site: Site) -> None:
    assert Simulation(site, 2).run(0.6).get_left_hall_share() < 0.08


def test_requests_leave_a_full_hall() -> None:
    site = Site(halls=2, nodes=3, replicas=3, places=9)
    simulation = Simulation(site, 3)
    node = simulation.nodes[0]
    node.loads.loads = {
        replica.key.life: 14
        for replica in simulation.replicas
        if replica.head.hall == node.hall
    }
    chosen = [
        node.chooser.choose(simulation.replicas, frozenset(), node.table, 1.0)
        for _ in range(200)
    ]
    left = sum(
        replica is not None and replica.head.hall != node.hall
        for replica in chosen
    )
    assert left > 100
