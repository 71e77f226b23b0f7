"""Objects of the configuration that operators write."""

from __future__ import annotations

import enum

import attrs

from waywell.version.selector import Selector

DEFAULT_KIND = 'default'
"""Kind of a request that specifies none."""


class ServiceType(enum.Enum):
    """Type of the targets that provide a service."""

    MODEL = 'model'
    PLAIN = 'plain'


@attrs.frozen
class Service:
    """A service that callers request by name."""

    name: str
    """Name of the service, which callers give in the path."""

    type: ServiceType = ServiceType.MODEL
    """Whether its targets are model engines or plain services."""

    fenced: bool = True
    """Whether its targets refuse requests of an earlier epoch."""

    model: str = ''
    """Model that its engines load."""

    timeout: float = 600.0
    """Longest duration of a request without a deadline, in seconds."""


@attrs.frozen
class GroupSet:
    """Rules for the replica groups formed from boxes with certain labels."""

    name: str
    """Name of the set, which its groups have as the label ``group_set``."""

    service: str
    """Name of the service that its groups provide."""

    boxes: Selector = Selector()
    """Selects the boxes that its groups may take."""

    boxes_per_group: int = 1
    """Number of boxes in a group."""

    groups: int = 1
    """Number of groups to keep."""

    one_domain: bool = True
    """Whether all boxes of a group must be in one fabric domain."""

    need: float = 1.0
    """How urgently its groups are needed, relative to other sets."""

    labels: dict[str, str] = attrs.Factory(dict)
    """Labels of its groups, which serving rules match."""


@attrs.frozen
class Serving:
    """Rule that allows the matching groups to serve certain requests."""

    name: str
    """Name of the rule."""

    groups: Selector = Selector()
    """Matches group labels, including ``group_set``, ``service``, ``hall``."""

    sessions: Selector = Selector()
    """Matches the labels of the session."""

    accounts: Selector = Selector()
    """Matches the labels of the client account, including ``account``."""

    kinds: Selector = Selector()
    """Matches the kind of the request, as the label ``kind``."""


@attrs.frozen
class Account:
    """A client account, whose keys authorise requests."""

    name: str
    """Name of the account."""

    key_hashes: list[str] = attrs.Factory(list)
    """SHA-256 of each of its keys, in hexadecimal."""

    labels: dict[str, str] = attrs.Factory(dict)
    """Labels that serving rules match."""

    requests_per_second: float = 1000.0
    """Rate limit for all entry boxes together."""

    in_flight: int = 10_000
    """Limit of requests in flight for all entry boxes together."""

    priority: int = 0
    """Priority that engines get with its requests; higher goes first."""


@attrs.frozen
class Operator:
    """A user of the administration API."""

    name: str
    """Name that appears in the log."""

    key_hashes: list[str] = attrs.Factory(list)
    """SHA-256 of each of its keys, in hexadecimal."""


@attrs.frozen
class Goal:
    """Goal of repairs: weights of the two costs, and typical durations."""

    name: str = 'goal'
    """Name of the only goal."""

    downtime_weight: float = 3.0
    """Cost of one group out of service for a second."""

    stranded_weight: float = 1.0
    """Cost of one idle accelerator for a second."""

    pause_seconds: float = 8.0
    """Median duration of a pause of a box, in seconds."""

    load_seconds: float = 90.0
    """Time until a group that took a new box serves, in seconds."""


@attrs.frozen
class Configuration:
    """All configuration objects in force, in a list for each kind."""

    service: list[Service] = attrs.Factory(list)
    """Services that callers may request."""

    group_set: list[GroupSet] = attrs.Factory(list)
    """Group sets, from which groups are formed."""

    serving: list[Serving] = attrs.Factory(list)
    """Rules that allow groups to serve requests."""

    account: list[Account] = attrs.Factory(list)
    """Client accounts that may send requests."""

    operator: list[Operator] = attrs.Factory(list)
    """Users of the administration API."""

    goal: Goal = Goal()
    """Weights of group downtime and stranded accelerators."""
