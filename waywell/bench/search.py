"""What the search for changes of groups costs, by the number of boxes.

``python -m waywell.bench.search``; domains of 19 boxes with idle ones in each,
two of which change between two searches; times as the least of several rounds.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Any

import msgspec

from waywell.bench.feed import SERVICE, measure_cpu_ms
from waywell.bench.figures import write_figures
from waywell.ids import BoxId, DomainName, Epoch, HallName, ModelName
from waywell.version.fleet import (
    Fleet,
    FleetBox,
    MemberState,
    Standing,
    make_group_name,
    parse_group_model,
)
from waywell.version.forming_memory import FormingMemory
from waywell.version.model_need import ModelNeed
from waywell.version.regrouping import RegroupSearch
from waywell.version.routes import Engine, EngineModel

if TYPE_CHECKING:
    from waywell.version.fleet import BoxesByDomain

DOMAINS = (6, 40, 126)
"""Fabric domains: a small site, a large one, the target."""

DOMAIN_BOXES = 19
"""Boxes of a domain."""

BIG = EngineModel(ModelName('big'), 8, 0.5, load_seconds=16.0)
SMALL = EngineModel(ModelName('small'), 4, 0.5, load_seconds=12.0)
GROUP_MODELS = (BIG, SMALL, SMALL)
"""Models of the groups of a domain; the boxes left over are idle."""

ENGINE = Engine(7, (BIG, SMALL), loads_per_second=63.0, loads_at_once=95)
"""The engine."""

CHANGED_DOMAINS = 2
"""Domains that change between two searches."""


def make_boxes(domain: int) -> list[FleetBox]:
    """Return the boxes of a domain: three groups, and idle ones."""
    boxes: list[FleetBox] = []
    for index, model in enumerate(GROUP_MODELS):
        epoch = Epoch(domain * len(GROUP_MODELS) + index + 1)
        group = make_group_name(model.name, epoch)
        other = BIG if model is SMALL else SMALL
        for rank in range(model.boxes_per_group):
            state = MemberState.READY if rank else MemberState.OPEN
            standing = Standing(group, epoch, rank, state)
            boxes.append(make_box(domain, f'{group}-{rank}', other, standing))
    while len(boxes) < DOMAIN_BOXES:
        boxes.append(make_box(domain, f'idle{domain}-{len(boxes)}', BIG))
    return boxes


def make_box(
    domain: int,
    name: str,
    staged: EngineModel,
    standing: Standing | None = None,
) -> FleetBox:
    """Return a box that holds a second model."""
    return FleetBox(
        BoxId(name),
        SERVICE,
        '10.1.0.1',
        8080,
        HallName('hall'),
        DomainName(f'd{domain}'),
        staged=(staged.name,),
        standing=standing,
    )


class _SimulatedSite:
    """A fleet and what the holder of the duty remembers of it."""

    def __init__(self, domains: int) -> None:
        self.memory = FormingMemory()
        self.fleet = Fleet(
            {
                box.box: box
                for domain in range(domains)
                for box in make_boxes(domain)
            },
        )
        self.memory.last_models = {
            box.life: parse_group_model(box.standing.group)
            for box in self.fleet.boxes.values()
            if box.standing is not None
        }

    def search(self) -> None:
        """Look for the best change of each domain."""
        serving = tuple(self.fleet.groups.values())
        need = ModelNeed(
            ENGINE,
            {BIG.name: 4.0 * len(serving), SMALL.name: 3.0 * len(serving)},
            len(self.fleet.boxes),
        )
        for group in serving:
            need.groups[parse_group_model(group.group)] += 1
        need.serving.update(need.groups)
        RegroupSearch(need, self.memory, serving).list_best(self._list_idle())

    def search_without_cache(self) -> None:
        """Search as if nothing were known."""
        self.memory.candidate_changes.clear()
        self.search()

    def search_after_changes(self) -> None:
        """Search after boxes of two domains have changed."""
        for domain in range(CHANGED_DOMAINS):
            name = BoxId(f'idle{domain}-{DOMAIN_BOXES - 1}')
            box = self.fleet.boxes[name]
            self.fleet.boxes[name] = msgspec.structs.replace(
                box, port=box.port + 1
            )
        self.search()

    def _list_idle(self) -> BoxesByDomain:
        idle: BoxesByDomain = defaultdict(list)
        for box in self.fleet.boxes.values():
            if box.standing is None:
                idle[box.domain].append(box)
        return idle


def measure_domains(domains: int) -> dict[str, Any]:
    """Return the figures for a number of domains."""
    site = _SimulatedSite(domains)
    return {
        'boxes': domains * DOMAIN_BOXES,
        'domains': domains,
        'whole_ms': measure_cpu_ms(site.search_without_cache),
        'changed_ms': measure_cpu_ms(site.search_after_changes),
        'same_ms': measure_cpu_ms(site.search),
    }


def main() -> None:
    """Run the benchmark."""
    write_figures('search', [measure_domains(count) for count in DOMAINS])


if __name__ == '__main__':
    main()
