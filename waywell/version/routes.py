"""One version of the route table: destinations, client accounts and limits.

The platform's operators write the table as one document.  It is immutable, and
a newer version replaces it as a whole.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

from waywell.ids import AccountName, ModelName, ServiceName

if TYPE_CHECKING:
    from collections.abc import Iterable


class RouteKind(enum.Enum):
    """How often a request may run and how it is answered."""

    SAFE = 'safe'
    """The request may run more than once."""

    UNSAFE = 'unsafe'
    """The request may run at most once."""

    STREAM = 'stream'
    """The answer is a stream of events."""


class ServiceShare(msgspec.Struct, frozen=True):
    """A service's share of the requests of a route."""

    service: ServiceName
    """Service that gets the requests."""

    weight: float
    """Share of the service, relative to the weights of the others."""


class Route(msgspec.Struct, frozen=True):
    """Rule for the requests to a host and path prefix."""

    name: str
    """Name that appears in logs."""

    host: str
    """Host name in the requests."""

    prefix: str
    """Path prefix, which begins and ends with a slash."""

    kind: RouteKind
    """How often its requests may run and how they are answered."""

    timeout: float
    """Time after which a request is given up, in seconds."""

    goal: float
    """Latency goal for the answer or its first event, in seconds."""

    shares: tuple[ServiceShare, ...]
    """Services that share its requests."""

    gap_goal: float = 0.0
    """Goal for the pause between events, in seconds; 0 if there is none."""

    most_targets: int = 1
    """Largest number of replicas that one request may be sent to."""

    priority: int = 5
    """Priority of its requests; 0 is the most urgent."""

    public: bool = False
    """Whether its requests need no key."""

    resumable: bool = False
    """Whether a broken stream may be resumed at another replica."""

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may run at a second replica."""
        return self.kind is RouteKind.SAFE or self.resumable

    def pick_service(self, draw: float) -> ServiceName | None:
        """Return the service that a random number selects.

        Parameters
        ----------
        draw
            Random number from 0 inclusive to 1 exclusive.

        Returns
        -------
        ServiceName or None
            The service, or ``None`` if all weights are zero.
        """
        total = sum(share.weight for share in self.shares)
        left = draw * total
        for share in self.shares:
            left -= share.weight
            if left < 0:
                return share.service
        return self.shares[-1].service if total > 0 else None


class EngineModel(msgspec.Struct, frozen=True):
    """A model that groups of boxes serve, with its load times."""

    name: ModelName
    """Model name in the requests."""

    boxes_per_group: int
    """Number of boxes in a replica."""

    share: float = 1.0
    """Expected share of the work, relative to other models."""

    pace: float = 1.0
    """Factor on all durations of its groups; below 1 is faster."""

    load_seconds: float = 0.0
    """Time to load its weights from the weight store, in seconds."""

    warm_seconds: float = 0.0
    """Time to load its weights from the box's own memory, in seconds."""


class Engine(msgspec.Struct, frozen=True):
    """Capacity and timing of the model engines of a service."""

    places: int
    """Number of requests that one group runs at once."""

    models: tuple[EngineModel, ...]
    """Models that the engines serve."""

    memory_tokens: int = 0
    """Number of tokens that a group's memory holds; 0 if unknown."""

    step_seconds: float = 0.0
    """Fixed part of the time for one token of every request, in seconds."""

    sequence_seconds: float = 0.0
    """Time that each running request adds to a step, in seconds."""

    read_per_second: float = 0.0
    """Prompt tokens processed a second; 0 if unknown."""

    steps_a_pass: int = 1
    """Number of token steps between two events of a stream."""

    loads_per_second: float = 1.0
    """Model loads that the weight store starts a second."""

    loads_at_once: int = 1
    """Number of model loads that run concurrently at full speed."""

    form_seconds: float = 0.0
    """Time from the order to open a group until it serves, in seconds."""

    def find_model(self, name: str) -> EngineModel | None:
        """Return a model by its name, if the engines serve it."""
        return next(
            (model for model in self.models if model.name == name), None
        )


class RoutedService(msgspec.Struct, frozen=True):
    """A service and the properties of its targets."""

    name: ServiceName
    """Name of the service."""

    health_path: str = '/health'
    """Path of the health check at its boxes."""

    connections: int = 0
    """Connections that a box accepts from all entry boxes; 0 if unknown."""

    engine: Engine | None = None
    """Properties of its engines; ``None`` for a plain service."""


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on the size and duration of what callers send."""

    header_bytes: int = 16_384
    """Largest head of a request, in bytes."""

    body_bytes: int = 4_194_304
    """Largest body of a request, in bytes."""

    header_seconds: float = 5.0
    """Longest time from the first byte of a head to its last, in seconds."""

    idle_seconds: float = 60.0
    """Longest time that a connection may stay idle, in seconds."""


class KeyHolder(msgspec.Struct, frozen=True):
    """The client account that a key belongs to."""

    account: AccountName
    """Name of the client account."""

    priority: int | None = None
    """Priority of its requests, which overrides that of the route."""


class RouteTable(msgspec.Struct, frozen=True):
    """All routes, services, keys and limits of one version."""

    version: int
    """Version number that operators assign; 0 for the initial table."""

    routes: tuple[Route, ...] = ()
    """Routes, in any order."""

    services: tuple[RoutedService, ...] = ()
    """Services that the routes refer to."""

    holders: dict[str, KeyHolder] = {}
    """Client accounts by key."""

    limits: CallerLimits = CallerLimits()
    """Limits on what callers send."""

    has_accounts: bool = False
    """Whether requests to routes that are not public need a key."""


class RouteIndex:
    """Index for lookups in a route table.

    Parameters
    ----------
    table
        Route table in force.
    """

    def __init__(self, table: RouteTable) -> None:
        """Index the routes by host, the longest prefix first."""
        self.table = table
        self._services = {service.name: service for service in table.services}
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(table.routes, key=_rank_prefix):
            self._by_host.setdefault(route.host.lower(), []).append(route)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a path.

        Parameters
        ----------
        host
            Host name in the request, with or without a port.
        path
            Path of the request, without the query.
        """
        name = host.partition(':')[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_service(self, name: ServiceName) -> RoutedService | None:
        """Return a service by its name, if there is one."""
        return self._services.get(name)

    def find_holder(self, key: str) -> KeyHolder | None:
        """Return the client account that a key belongs to, if any."""
        return self.table.holders.get(key)

    def list_engines(self) -> Iterable[tuple[ServiceName, Engine]]:
        """Yield the services whose boxes serve models in groups."""
        for service in self.table.services:
            if service.engine is not None and service.engine.models:
                yield service.name, service.engine


def _rank_prefix(route: Route) -> int:
    return -len(route.prefix)
