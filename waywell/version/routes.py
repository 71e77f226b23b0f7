"""One version of the routes: where requests go, who may ask, what limits hold.

The platform's operators write it as one document.  It is immutable; a newer
version replaces it whole.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

from waywell.ids import AccountName, ModelName, ServiceName

if TYPE_CHECKING:
    from collections.abc import Iterable


class RouteKind(enum.Enum):
    """How a request may be treated."""

    SAFE = 'safe'
    """It may run more than once."""

    UNSAFE = 'unsafe'
    """It runs at most once."""

    STREAM = 'stream'
    """Its answer is a stream of events."""


class ServiceShare(msgspec.Struct, frozen=True):
    """A part of a route's requests."""

    service: ServiceName
    """Service that gets them."""

    weight: float
    """Its part, against the weights of the others."""


class Route(msgspec.Struct, frozen=True):
    """Where the requests to a host and path prefix go."""

    name: str
    """Name, for logs."""

    host: str
    """Host that callers ask for."""

    prefix: str
    """Path prefix; begins and ends with a slash."""

    kind: RouteKind
    """How its requests may be treated."""

    timeout: float
    """Longest that a request is held, in seconds."""

    goal: float
    """Within which an answer (or its first event) is in time, in seconds."""

    shares: tuple[ServiceShare, ...]
    """Services that get its requests."""

    gap_goal: float = 0.0
    """Longest pause between events that is in time, in seconds; 0: unsaid."""

    most_targets: int = 1
    """Most replicas that one request may be sent to."""

    priority: int = 5
    """Rank of its requests, 0 first."""

    public: bool = False
    """Whether it asks for no key."""

    resumable: bool = False
    """Whether a stream may be taken up again at another replica."""

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may run at a second replica."""
        return self.kind is RouteKind.SAFE or self.resumable

    def pick_service(self, draw: float) -> ServiceName | None:
        """Return the service of a draw.

        Parameters
        ----------
        draw
            A number from 0 up to 1.
        """
        total = sum(share.weight for share in self.shares)
        left = draw * total
        for share in self.shares:
            left -= share.weight
            if left < 0:
                return share.service
        return self.shares[-1].service if total > 0 else None


class EngineModel(msgspec.Struct, frozen=True):
    """A model that groups of boxes serve."""

    name: ModelName
    """Name that requests carry."""

    boxes_per_group: int
    """Boxes that one replica needs."""

    share: float = 1.0
    """Its part of the work that operators expect."""

    pace: float = 1.0
    """Factor on all times of its groups; below 1 is faster."""

    load_seconds: float = 0.0
    """To load its weights from the weight store."""

    warm_seconds: float = 0.0
    """To load its weights from the box's own memory."""


class Engine(msgspec.Struct, frozen=True):
    """What the model engines of a service are like."""

    places: int
    """Requests that one group runs at once."""

    models: tuple[EngineModel, ...]
    """Models that are served."""

    memory_tokens: int = 0
    """Tokens that a group can hold; 0: unsaid."""

    step_seconds: float = 0.0
    """One token of every running request, without their number."""

    sequence_seconds: float = 0.0
    """Added to a step for each running request."""

    read_per_second: float = 0.0
    """Prompt tokens that are read in a second; 0: unsaid."""

    steps_a_pass: int = 1
    """Token steps between two events of a stream."""

    loads_per_second: float = 1.0
    """Loads that the weight store begins in a second."""

    loads_at_once: int = 1
    """Loads that run side by side at full speed."""

    form_seconds: float = 0.0
    """From the order to open a group until it serves."""

    def find_model(self, name: str) -> EngineModel | None:
        """Return a model by its name."""
        return next(
            (model for model in self.models if model.name == name), None
        )


class RoutedService(msgspec.Struct, frozen=True):
    """A service and what answers for it."""

    name: ServiceName
    """Name."""

    health_path: str = '/health'
    """Path at which a box says whether it is healthy."""

    connections: int = 0
    """Connections that one box accepts from all entry boxes; 0: unsaid."""

    engine: Engine | None = None
    """What its engines are like; ``None`` for a plain service."""


class CallerLimits(msgspec.Struct, frozen=True):
    """What a caller may send, and how long it may take."""

    header_bytes: int = 16_384
    """Largest head of a request."""

    body_bytes: int = 4_194_304
    """Largest body."""

    header_seconds: float = 5.0
    """From the first byte of a head to its last."""

    idle_seconds: float = 60.0
    """For which a kept connection may rest."""


class KeyHolder(msgspec.Struct, frozen=True):
    """The client account that a key belongs to."""

    account: AccountName
    """Name of the client account."""

    priority: int | None = None
    """Rank of its requests; goes before the route's."""


class RouteTable(msgspec.Struct, frozen=True):
    """All routes, services and keys of one version."""

    version: int
    """Number that the operators gave it; 0 before the first."""

    routes: tuple[Route, ...] = ()
    """Routes."""

    services: tuple[RoutedService, ...] = ()
    """Services."""

    holders: dict[str, KeyHolder] = {}
    """Client account by key."""

    limits: CallerLimits = CallerLimits()
    """Limits on callers."""

    has_accounts: bool = False
    """Whether routes that are not public ask for a key."""


class RouteIndex:
    """Finds things in a table of routes.

    Parameters
    ----------
    table
        The version in force.
    """

    def __init__(self, table: RouteTable) -> None:
        """Sort the routes by host, the longest prefix first."""
        self.table = table
        self._services = {service.name: service for service in table.services}
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(table.routes, key=_rank_prefix):
            self._by_host.setdefault(route.host.lower(), []).append(route)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path.

        Parameters
        ----------
        host
            Host that the caller named, with or without a port.
        path
            Path without the query.
        """
        name = host.partition(':')[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_service(self, name: ServiceName) -> RoutedService | None:
        """Return a service by its name."""
        return self._services.get(name)

    def find_holder(self, key: str) -> KeyHolder | None:
        """Return the client account that a key belongs to."""
        return self.table.holders.get(key)

    def list_engines(self) -> Iterable[tuple[ServiceName, Engine]]:
        """Return the services whose boxes serve models in groups."""
        for service in self.table.services:
            if service.engine is not None and service.engine.models:
                yield service.name, service.engine


def _rank_prefix(route: Route) -> int:
    return -len(route.prefix)
