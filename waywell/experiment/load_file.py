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
"""Lower and upper bound of a value that is drawn by seed."""


class FaultKind(enum.Enum):
    """Kinds of faults that a load can contain."""

    BOXES = 'boxes'
    """Boxes of any domains are lost."""

    DOMAIN = 'domain'
    """All boxes of one fabric domain are lost."""

    SLOW = 'slow'
    """Boxes take longer for all work."""


@attrs.frozen
class FleetSettings:
    """Size of the fleet."""

    halls: int = 1
    """Number of data halls."""

    domains_per_hall: int = 1
    """Number of fabric domains in each hall."""

    boxes_per_domain: Range = (8, 8)
    """Number of boxes in each domain; drawn once for all domains."""

    nodes_per_hall: int = 2
    """Number of entry boxes in each hall."""


@attrs.frozen
class EngineSettings:
    """Published speed and capacity of the engines and the weight store."""

    places: int
    """Maximum number of requests that one group runs at once."""

    queue: int
    """Maximum number of requests that wait at a group whose places are
    taken."""

    step_seconds: float
    """Fixed seconds of a step, which generates one token for every running
    request."""

    sequence_seconds: float
    """Seconds that each running request adds to a step."""

    read_per_second: float
    """Prompt tokens that a group reads in a second."""

    steps_a_pass: int = 1
    """Token steps between two events of a stream."""

    loads_per_second: float = 1.0
    """Loads of weights that the weight store starts in a second."""

    loads_at_once: int = 4
    """Number of concurrent loads of weights that run at full speed."""

    first_crowd: float = 1.0
    """Greatest factor by which concurrent loads during the warm-up are
    slowed."""

    form_seconds: float = 0.3
    """Seconds from the order to open a group until it serves."""


@attrs.frozen
class PlatformSettings:
    """Delays between boxes, nodes and the platform."""

    list_seconds: float = 0.5
    """Seconds between two updates of the box list."""

    lapse_seconds: float = 3.0
    """Seconds after which a lost box is removed from the list."""

    order_seconds: float = 0.05
    """One-way delay of an order or probe, in seconds."""

    answer_seconds: float = 1.0
    """Seconds after which an order or probe counts as unanswered."""

    load_report_seconds: float = 0.33
    """Seconds between two reports of a node's requests in flight."""

    stall_seconds: float = 6.0
    """Seconds until the head of a group that lost a member gives up."""


@attrs.frozen
class ModelSettings:
    """A model that groups serve."""

    name: str
    """Name that request kinds refer to."""

    boxes_per_group: int
    """Number of boxes that one group needs."""

    share: float = 1.0
    """Weight of the model in the work that operators expect."""

    pace: float = 1.0
    """Factor by which the model's groups take longer than the engine
    figures."""

    load_seconds: float = 12.0
    """Seconds to load the weights from the weight store."""

    warm_seconds: float = 1.2
    """Seconds to load the weights from the box's host memory."""


@attrs.frozen
class KindSettings:
    """Requests of one kind."""

    name: str
    """Name of the kind and of its route."""

    model: str
    """Name of the model that the requests need."""

    per_second: Range
    """Mean number of requests a second from all callers, drawn once."""

    prompt_tokens: Range
    """Length of a prompt in tokens, drawn for each request."""

    answer_tokens: Range
    """Length of an answer in tokens, drawn for each request."""

    goal: float
    """Latency goal of the first event, in seconds."""

    timeout: float
    """Seconds that a caller waits for the complete answer."""

    gap_goal: float = 0.0
    """Longest pause within the goals, in seconds; 0 for no limit."""

    worth: float = 1.0
    """Worth of an answer within the goals."""

    late_worth: float = 0.3
    """Worth of a complete answer that missed a goal."""

    most_targets: int = 2
    """Maximum number of replicas that one request is sent to."""

    returns: int = 1
    """Number of times that a caller returns after a refusal."""


@attrs.frozen
class ArrivalSettings:
    """Variation of the arrival rate over time."""

    swing: float = 0.0
    """Amplitude of the rate's sine wave, as a fraction of the mean rate."""

    period: float = 30.0
    """Period of the sine wave, in seconds."""

    clump: Range = (1, 1)
    """Number of requests of a kind that arrive together."""


@attrs.frozen
class FaultSettings:
    """A fault that occurs once."""

    kind: FaultKind
    """Whether boxes or a domain are lost, or boxes are slow."""

    at: Range
    """Start, in seconds after the warm-up."""

    count: Range = (1, 1)
    """Number of affected boxes; ignored for a domain, which is lost whole."""

    lasts: Range = (0, 0)
    """Duration in seconds; 0 if it never ends."""

    pace: Range = (3, 3)
    """Factor by which all work of a slow box takes longer."""


@attrs.frozen
class Load:
    """Content of a load file; a seed draws one simulation from it."""

    engine: EngineSettings
    """Speed and capacity of the engines."""

    model: list[ModelSettings]
    """Models that the fleet serves; at least one."""

    kind: list[KindSettings]
    """Kinds of requests that callers make; at least one."""

    fleet: FleetSettings = FleetSettings()
    """Number of halls, domains, boxes and nodes."""

    platform: PlatformSettings = PlatformSettings()
    """Delays of lists, orders and reports."""

    arrivals: ArrivalSettings = ArrivalSettings()
    """Variation of the arrival rate."""

    fault: list[FaultSettings] = attrs.Factory(list)
    """Faults that occur during the simulation."""

    seconds: float = 60.0
    """Duration of the arrivals, in seconds."""

    warm_up: float = 30.0
    """Seconds before the arrivals, in which the first groups form."""


def read_load(path: str) -> Load:
    """Read and validate a load file.

    Raises
    ------
    InvalidInputError
        If the file is invalid.  Lists every fault with the file and its key
        or line.
    """
    return check_load(read_toml(read_text(path), path), path)


def check_load(raw: Any, source: str) -> Load:
    """Convert plain values to a load and validate it.

    Parameters
    ----------
    raw
        Content of a load file, as the TOML parser returns it.
    source
        Prefix of the faults: the path of the file.

    Raises
    ------
    InvalidInputError
        If values are invalid.  Lists every fault found.
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
"""Settings that must be above 0; the others may be 0."""

_INTEGER_RANGES = frozenset(
    ('boxes_per_domain', 'prompt_tokens', 'answer_tokens', 'clump', 'count'),
)
"""Settings that are ranges of whole numbers."""


def _find_invalid_values(load: Load) -> Iterator[str]:
    for prefix, settings in _list_tables(load):
        for name, value in attrs.asdict(settings, recurse=False).items():
            if isinstance(value, int | float | tuple):
                for fault in _find_value_faults(name, value):
                    yield f'{prefix}{name}: {value!r} {fault}'
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
        yield 'is an empty range: the lower bound comes first'
    if name in _POSITIVE_FIELDS and low <= 0:
        yield 'is not above 0'
    elif low < 0:
        yield 'is below 0'
    if name in _INTEGER_RANGES and not _are_integers(low, high):
        yield 'is not a range of whole numbers'


def _are_integers(*values: float) -> bool:
    return all(float(value).is_integer() for value in values)


def _list_tables(load: Load) -> Iterator[tuple[str, Any]]:
    yield '', load
    for name in ('fleet', 'engine', 'platform', 'arrivals'):
        yield f'{name}.', getattr(load, name)
    for array in ('model', 'kind', 'fault'):
        for index, settings in enumerate(getattr(load, array)):
            yield f'{array}[{index}].', settings


def _find_invalid_names(load: Load) -> Iterator[str]:
    for name, tables in (('model', load.model), ('kind', load.kind)):
        yield from _find_name_faults(name, [entry.name for entry in tables])
    models = [model.name for model in load.model]
    for index, kind in enumerate(load.kind):
        if kind.model not in models:
            yield f'kind[{index}].model: {kind.model!r} is not one of {models}'


def _find_name_faults(array: str, names: list[str]) -> Iterator[str]:
    if not names:
        yield f'{array}: at least one is required'
    for name, count in Counter(names).items():
        if count > 1:
            yield f'{array}: the name {name!r} is used more than once'
