"""Cost of the search for group changes, by the number of boxes.

``python -m waywell.bench.search`` searches fabric domains of 19 boxes with
idle boxes in each.  Two domains change between two searches.  The shortest
time of several rounds counts.
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
"""Numbers of fabric domains: a small site, a large one, and the target."""

DOMAIN_BOXES = 19
"""Number of boxes in a domain."""

BIG = EngineModel(ModelName('big'), 8, 0.5, load_seconds=16.0)
SMALL = EngineModel(ModelName('small'), 4, 0.5, load_seconds=12.0)
GROUP_MODELS = (BIG, SMALL, SMALL)
"""Models of the groups in a domain; the remaining boxes are idle."""

ENGINE = Engine(7, (BIG, SMALL), loads_per_second=63.0, loads_at_once=95)
"""Engine figures of both models."""

CHANGED_DOMAINS = 2
"""Number of domains that change between two searches."""


def make_boxes(domain: int) -> list[FleetBox]:
    """Return the boxes of a domain: three groups and idle boxes."""
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
    """Return a box with a staged model."""
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
    """A fleet and the memory of the forming duty's holder."""

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
        """Search for the best change in each domain."""
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
        """Search without cached candidates."""
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
    """Return all figures for a number of domains."""
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
