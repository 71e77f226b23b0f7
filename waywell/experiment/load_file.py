"""Load files: the fleet, callers and faults of an experiment."""

from __future__ import annotations

import enum
import math
from collections import Counter
from typing import TYPE_CHECKING, Any

import attrs

from waywell.version.input_validation import InvalidInputError, structure_input
from waywell.version.toml_text import read_text, read_toml

if TYPE_CHECKING:
    from collections.abc import Iterator

Range = tuple[float, float]
"""Least and greatest value of a figure that is drawn by seed."""


class FaultKind(enum.Enum):
    """What goes wrong."""

    BOXES = 'boxes'
    """Boxes of any domains are lost."""

    DOMAIN = 'domain'
    """All boxes of one fabric domain are lost."""

    SLOW = 'slow'
    """Boxes take longer for all work."""


@attrs.frozen
class FleetSettings:
    """Boxes by hall and fabric domain."""

    halls: int = 1
    """Data halls."""

    domains_per_hall: int = 1
    """Fabric domains in each hall."""

    boxes_per_domain: Range = (8, 8)
    """Boxes in each domain; drawn once for all of them."""

    nodes_per_hall: int = 2
    """Entry boxes in each hall."""


@attrs.frozen
class EngineSettings:
    """Published figures of the engines."""

    places: int
    """Requests that one group runs at once."""

    queue: int
    """Requests that wait at a group whose places are taken."""

    step_seconds: float
    """One token of every running request, without their number."""

    sequence_seconds: float
    """Added to a step for each running request."""

    read_per_second: float
    """Prompt tokens that are read in a second."""

    steps_a_pass: int = 1
    """Token steps between two events of a stream."""

    loads_per_second: float = 1.0
    """Loads that the weight store begins in a second."""

    loads_at_once: int = 4
    """Loads that run side by side at full speed."""

    first_crowd: float = 1.0
    """Most times by which loads before the first caller are slowed."""

    form_seconds: float = 0.3
    """From the order to open a group until it serves."""


@attrs.frozen
class PlatformSettings:
    """Delays between boxes, nodes and the platform."""

    list_seconds: float = 0.5
    """Seconds between two box lists."""

    lapse_seconds: float = 3.0
    """Seconds after which a lost box is off the list."""

    order_seconds: float = 0.05
    """Seconds that an order or question is on its way."""

    answer_seconds: float = 1.0
    """Seconds after which an order counts as unanswered."""

    load_report_seconds: float = 0.33
    """Seconds between two reports of a node's requests in flight."""

    stall_seconds: float = 6.0
    """Seconds for which a head goes on that has lost a member."""


@attrs.frozen
class ModelSettings:
    """A model that groups serve."""

    name: str
    """Name."""

    boxes_per_group: int
    """Boxes that one group needs."""

    share: float = 1.0
    """Part of the work that operators expect."""

    pace: float = 1.0
    """Factor on all times of its groups."""

    load_seconds: float = 12.0
    """Seconds of a load from the weight store."""

    warm_seconds: float = 1.2
    """Seconds of a load from the box's host."""


@attrs.frozen
class KindSettings:
    """Requests of one kind."""

    name: str
    """Name."""

    model: str
    """Model that they ask for."""

    per_second: Range
    """Requests a second from all callers, drawn once."""

    prompt_tokens: Range
    """Tokens of a prompt, drawn for each request."""

    answer_tokens: Range
    """Tokens of an answer, drawn for each request."""

    goal: float
    """Seconds within which the first event is in aim."""

    timeout: float
    """Seconds that a caller waits for the whole answer."""

    gap_goal: float = 0.0
    """Longest pause in aim, in seconds; 0 for any."""

    worth: float = 1.0
    """Worth of an answer in aim."""

    late_worth: float = 0.3
    """Worth of a late answer."""

    most_targets: int = 2
    """Replicas that one request may be sent to."""

    returns: int = 1
    """Times that a caller comes back after a refusal."""


@attrs.frozen
class ArrivalSettings:
    """How requests are spread over time."""

    swing: float = 0.0
    """Part by which the rate rises and falls around its mean."""

    period: float = 30.0
    """Seconds of one wave."""

    clump: Range = (1, 1)
    """Requests that arrive at one moment."""


@attrs.frozen
class FaultSettings:
    """Something that goes wrong once."""

    kind: FaultKind
    """What goes wrong."""

    at: Range
    """When, in seconds from the first caller."""

    count: Range = (1, 1)
    """Boxes that it meets; a domain is met whole."""

    lasts: Range = (0, 0)
    """Seconds after which it is over; 0 for never."""

    pace: Range = (3, 3)
    """Factor on all times of slow boxes."""


@attrs.frozen
class Load:
    """All that an experiment is drawn from."""

    engine: EngineSettings
    """The engines."""

    model: list[ModelSettings]
    """Models."""

    kind: list[KindSettings]
    """Kinds of requests."""

    fleet: FleetSettings = FleetSettings()
    """The boxes."""

    platform: PlatformSettings = PlatformSettings()
    """Delays."""

    arrivals: ArrivalSettings = ArrivalSettings()
    """How requests are spread."""

    fault: list[FaultSettings] = attrs.Factory(list)
    """What goes wrong."""

    seconds: float = 60.0
    """Seconds in which callers ask."""

    warm_up: float = 30.0
    """Seconds before, in which groups form."""


def read_load(path: str) -> Load:
    """Read and check a load file.

    Raises
    ------
    InvalidInputError
        With every fault: the file, then its key or its line.
    """
    return check_load(read_toml(read_text(path), path), path)


def check_load(raw: Any, source: str) -> Load:
    """Turn plain values into a load that holds together.

    Raises
    ------
    InvalidInputError
        With every fault found.
    """
    load = structure_input(raw, Load, source)
    faults = [*_find_invalid_values(load), *_find_invalid_names(load)]
    if faults:
        raise InvalidInputError(f'{source}.{fault}' for fault in faults)
    return load


_POSITIVE_FIELDS = frozenset(
    (
        'halls',
        'domains_per_hall',
        'boxes_per_domain',
        'nodes_per_hall',
        'places',
        'read_per_second',
        'step_seconds',
        'steps_a_pass',
        'loads_per_second',
        'loads_at_once',
        'list_seconds',
        'order_seconds',
        'answer_seconds',
        'load_report_seconds',
        'boxes_per_group',
        'pace',
        'per_second',
        'answer_tokens',
        'goal',
        'timeout',
        'worth',
        'most_targets',
        'period',
        'clump',
        'seconds',
        'share',
    ),
)
"""Figures that must be above 0; the others may be 0."""

_INTEGER_RANGES = frozenset(
    ('boxes_per_domain', 'prompt_tokens', 'answer_tokens', 'clump', 'count'),
)
"""Ranges of whole numbers."""


def _find_invalid_values(load: Load) -> Iterator[str]:
    for source, settings in _list_tables(load):
        for name, value in attrs.asdict(settings, recurse=False).items():
            if isinstance(value, int | float | tuple):
                for fault in _find_value_faults(name, value):
                    yield f'{source}{name}: {value!r} {fault}'
    if load.arrivals.swing > 1:
        yield f'arrivals.swing: {load.arrivals.swing!r} is above 1'


def _find_value_faults(
    name: str,
    value: float | Range,
) -> Iterator[str]:
    low, high = value if isinstance(value, tuple) else (value, value)
    if not math.isfinite(low) or not math.isfinite(high):
        yield 'is not finite'
    if low > high:
        yield 'is an empty range: the least value comes first'
    if name in _POSITIVE_FIELDS and low <= 0:
        yield 'is not above 0'
    elif low < 0:
        yield 'is below 0'
    if name in _INTEGER_RANGES and not _are_integers(low, high):
        yield 'is no range of whole numbers'


def _are_integers(*values: float) -> bool:
    return all(float(value).is_integer() for value in values)


def _list_tables(load: Load) -> Iterator[tuple[str, Any]]:
    yield '', load
    for name in ('fleet', 'engine', 'platform', 'arrivals'):
        yield f'{name}.', getattr(load, name)
    for tables in ('model', 'kind', 'fault'):
        for index, settings in enumerate(getattr(load, tables)):
            yield f'{tables}[{index}].', settings


def _find_invalid_names(load: Load) -> Iterator[str]:
    for name, tables in (('model', load.model), ('kind', load.kind)):
        yield from _find_invalid_list(name, [entry.name for entry in tables])
    models = [model.name for model in load.model]
    for index, kind in enumerate(load.kind):
        if kind.model not in models:
            yield f'kind[{index}].model: {kind.model!r} is none of {models}'


def _find_invalid_list(source: str, names: list[str]) -> Iterator[str]:
    if not names:
        yield f'{source}: at least one is needed'
    for name, count in Counter(names).items():
        if count > 1:
            yield f'{source}: the name {name!r} stands twice'
