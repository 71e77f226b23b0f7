"""Cost and memory of the daemons' decisions, measured without I/O."""

from __future__ import annotations

import time
import tracemalloc
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any

import msgspec

from waywell.bench.figures import fit_slope, write_figures
from waywell.connection.entry_peer import LoadUpdate
from waywell.health.health import HealthTable
from waywell.health.prober import select_probed_groups
from waywell.ids import (
    BoxId,
    DomainName,
    GroupId,
    HallName,
    Incarnation,
    NodeId,
    RequestId,
    SessionId,
)
from waywell.membership.membership import MembershipTable, NodeRecord
from waywell.process.loads import LoadTable
from waywell.request.claim import ClaimKey, ClaimTable, make_id_prefix
from waywell.request.routing import choose_for_session, choose_less_loaded
from waywell.request.service_loads import ServiceLoadCache
from waywell.standins.harness import hash_text
from waywell.version.assembly import AssemblyView, plan_assembly
from waywell.version.configuration import (
    check_configuration,
    make_configuration_entries,
    parse_configuration,
)
from waywell.version.document import Document, compare_documents
from waywell.version.repair import SparesOnly
from waywell.version.roster import Box, BoxState, Group, Roster, parse_roster
from waywell.version.serving import RequestShape, ServingIndex

if TYPE_CHECKING:
    from collections.abc import Callable

    from waywell.version.objects import Configuration

GROUPS = (60, 200, 600)
"""Numbers of replica groups to measure."""

GROUP_BOXES = 4
"""Number of boxes in a group."""

DOMAIN_BOXES = 32
"""Number of boxes in a fabric domain."""

SPARE_FACTOR = 1.03
"""Ratio of all boxes, including spares, to boxes in groups."""

SESSION = SessionId('a1/s')

REPEATS = 20
"""Number of times that a decision is timed; the fastest counts."""


def make_boxes(groups: int) -> dict[BoxId, Box]:
    """Return enough boxes for a number of groups, plus spares."""
    count = round(groups * GROUP_BOXES * SPARE_FACTOR)
    boxes = [
        Box(
            box=BoxId(f'box-{number:04}'),
            hall=HallName(f'hall-{number // DOMAIN_BOXES % 5}'),
            domain=DomainName(f'domain-{number // DOMAIN_BOXES}'),
            host=f'127.0.{number // 250}.{number % 250}',
            port=8000,
            labels={'pool': 'llm'},
        )
        for number in range(count)
    ]
    return {box.box: box for box in boxes}


def make_group_configuration(groups: int) -> Configuration:
    """Return a configuration with groups and ten client accounts."""
    raw = {
        'service': [{'name': 'llm', 'model': 'm'}],
        'group_set': [
            {
                'name': 'main',
                'service': 'llm',
                'boxes': {'match': {'pool': ['llm']}},
                'boxes_per_group': GROUP_BOXES,
                'groups': groups,
            },
        ],
        'serving': [{'name': 'all'}],
        'account': [
            {'name': f'a{number}', 'key_hashes': [hash_text(f'key-{number}')]}
            for number in range(10)
        ],
    }
    return check_configuration(raw, 'bench')


def time_call(work: Callable[[], Any]) -> float:
    """Return the shortest duration of several calls, in milliseconds."""
    best = float('inf')
    for _ in range(REPEATS):
        started_at = time.perf_counter()
        work()
        best = min(best, time.perf_counter() - started_at)
    return best * 1000


def form_all_groups(
    boxes: dict[BoxId, Box], configuration: Configuration
) -> Roster:
    """Return a roster in which all groups serve."""
    roster = Roster(0)
    for _ in range(2):
        view = AssemblyView(
            boxes,
            configuration,
            {},
            ready=frozenset(roster.groups),
        )
        plan = plan_assembly(roster, view, SparesOnly(), 0)
        number = roster.number + 1
        roster = roster.replace(number, plan.changed, plan.removed)
    return roster


def lose_one_box(
    boxes: dict[BoxId, Box],
    roster: Roster,
) -> dict[BoxId, Box]:
    """Return the boxes with one member of a group lost."""
    group = next(iter(roster))
    lost = group.head.box
    box = msgspec.structs.replace(boxes[lost], state=BoxState.LOST)
    return {**boxes, lost: box}


def measure_assembly(groups: int) -> dict[str, Any]:
    """Measure planning and the size of the roster document."""
    boxes = make_boxes(groups)
    configuration = make_group_configuration(groups)
    roster = form_all_groups(boxes, configuration)
    idle = AssemblyView(boxes, configuration, {})
    broken = AssemblyView(lose_one_box(boxes, roster), configuration, {})
    document = Document(roster.number, roster.to_entries())
    plan = plan_assembly(roster, broken, SparesOnly(), 0)
    later = roster.replace(roster.number + 1, plan.changed, plan.removed)
    change = compare_documents(document, Document(9, later.to_entries()))
    return {
        'groups': groups,
        'plan_idle_ms': time_call(
            lambda: plan_assembly(roster, idle, SparesOnly(), 0),
        ),
        'plan_lost_box_ms': time_call(
            lambda: plan_assembly(roster, broken, SparesOnly(), 0),
        ),
        'roster_kb': len(document.encode()) / 1000,
        'change_bytes': len(msgspec.msgpack.encode(change)),
        'adopt_ms': time_call(
            lambda: ServingIndex(configuration, parse_roster(document)),
        ),
    }


def measure_routing(groups: int) -> dict[str, Any]:
    """Measure the selection of a group for one request."""
    configuration = make_group_configuration(groups)
    index = ServingIndex(
        configuration,
        form_all_groups(make_boxes(groups), configuration),
    )
    candidates = index.list_groups(RequestShape('llm', 'a1', 'default'))
    random = Random(1)
    health = HealthTable(6)
    for group in candidates:
        health.record_answer(group.group, random.random(), 0)
    load_cache = ServiceLoadCache(health, LoadTable())
    loads = load_cache.build_loads('llm', candidates, 0)
    is_usable = partial(_is_usable, health)
    return {
        'groups': groups,
        'summary_us': time_call(
            lambda: ServiceLoadCache(health, LoadTable()).build_loads(
                'llm', candidates, 0
            ),
        )
        * 1000,
        'less_loaded_us': time_call(
            lambda: choose_less_loaded(candidates, is_usable, loads, random),
        )
        * 1000,
        'session_us': time_call(
            lambda: choose_for_session(SESSION, candidates, is_usable, loads),
        )
        * 1000,
    }


def _is_usable(health: HealthTable, group: Group) -> bool:
    return health.is_usable(group.group, group.epoch, 0)


def make_record(number: int) -> NodeRecord:
    """Return the membership record of a node."""
    return NodeRecord(
        node=NodeId(f'entry-{number}'),
        incarnation=Incarnation(1_796_000_000_000 + number),
        hall=HallName(f'hall-{number % 5}'),
        region=f'region-{number % 2}',
        host='127.0.0.1',
        caller_port=8000,
        peer_port=8001,
        admin_port=8002,
    )


def measure_membership(nodes: int) -> dict[str, Any]:
    """Measure the membership table of a system with a number of nodes."""
    table = MembershipTable(make_record(0), 2)
    records = [make_record(number) for number in range(1, nodes)]
    for record in records:
        table.merge(record, 0)
    roster = form_all_groups(make_boxes(600), make_group_configuration(600))
    groups = list(roster)
    return {
        'nodes': nodes,
        'record_bytes': len(msgspec.msgpack.encode(records[0])),
        'whole_view_kb': len(msgspec.msgpack.encode(records)) / 1000,
        'neighbours': len(table.list_neighbours()),
        'tick_ms': time_call(lambda: table.tick(1)),
        'change_ms': time_call(lambda: (table.update_own(), table.digest)),
        'pick_probed_ms': time_call(
            lambda: select_probed_groups(
                groups, list(table.records), table.own
            ),
        ),
        'probed_groups': len(
            select_probed_groups(groups, list(table.records), table.own),
        ),
    }


def measure_configuration(accounts: int) -> dict[str, Any]:
    """Measure a configuration with a number of client accounts."""
    raw = {
        'account': [
            {
                'name': f'account-{number}',
                'key_hashes': [hash_text(f'{number}')],
                'labels': {'tier': 'gold'},
            }
            for number in range(accounts)
        ],
    }
    configuration = check_configuration(raw, 'bench')
    document = Document(1, make_configuration_entries(configuration))
    return {
        'objects': accounts,
        'document_kb': len(document.encode()) / 1000,
        'join_ms': time_call(lambda: parse_configuration(document)),
    }


def measure_claims(claims: int) -> dict[str, Any]:
    """Measure a claim table with a number of claims."""
    table = ClaimTable(NodeId('entry-1'), Incarnation(1))
    prefix = make_id_prefix(NodeId('entry-1'), Incarnation(1), 1)
    keys = [
        ClaimKey('account', RequestId(f'{prefix}{number:08}'))
        for number in range(claims)
    ]
    tracemalloc.start()
    started_at = time.perf_counter()
    for key in keys:
        table.claim(key, NodeId('entry-1'), 1, 2)
    elapsed = time.perf_counter() - started_at
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        'claims': len(table),
        'claim_us_traced': elapsed / claims * 1e6,
        'bytes_a_claim': allocated_bytes / claims,
    }


def measure_report() -> dict[str, Any]:
    """Measure the encoded size of load reports."""
    reports = [(GroupId(f'main.{number}.0'), 4, 17) for number in range(100)]
    raw = msgspec.msgpack.encode(LoadUpdate(tuple(reports)))
    return {'reports': len(reports), 'bytes_a_report': len(raw) / len(reports)}


def main() -> None:
    """Run the benchmarks."""
    rows = [measure_assembly(groups) for groups in GROUPS]
    slope, base = fit_slope(
        [(row['groups'], row['roster_kb']) for row in rows]
    )
    write_figures(
        'assembly', rows, roster_kb=f'{base:.2f} + {slope:.4f} groups'
    )
    write_figures('routing', [measure_routing(groups) for groups in GROUPS])
    nodes = (8, 32, 128, 350)
    write_figures('membership', [measure_membership(size) for size in nodes])
    sizes = (20, 200, 2000)
    write_figures(
        'configuration',
        [measure_configuration(size) for size in sizes],
    )
    write_figures('claims', [measure_claims(size) for size in (1000, 8000)])
    write_figures('reports', [measure_report()])


if __name__ == '__main__':
    main()
