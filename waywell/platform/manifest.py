"""Decoding of the operators' manifest into a table of routes."""

from __future__ import annotations

from types import MappingProxyType
from typing import Any

import msgspec

from waywell.ids import AccountName, ModelName, ServiceName
from waywell.version.routes import (
    CallerLimits,
    Engine,
    EngineModel,
    KeyHolder,
    Route,
    RoutedService,
    RouteKind,
    RouteTable,
    ServiceShare,
)

SECONDS_PER_MS = 0.001
"""Seconds per millisecond."""

_KIND_BY_NAME = MappingProxyType(
    {
        'safe': RouteKind.SAFE,
        'unsafe': RouteKind.UNSAFE,
        'streaming': RouteKind.STREAM,
    },
)


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    latency_goal_ms: float = 0.0
    priority: int = 5
    split: list[_Split] = []
    # Set instead of a split if one service receives all requests.
    service: str = ''
    # Maximum replicas tried for one client attempt, not maximum sends.
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_goal_ms: float = 0.0


class _Model(msgspec.Struct):
    name: str
    # Number of boxes in one group.
    size: int = 1
    share: float = 1.0
    pace: float = 1.0
    load_s: float = 0.0
    # Seconds to load the model from the box's own memory, not to warm up
    # with requests.
    warmup_s: float = 0.0


class _Engine(msgspec.Struct):
    slots: int = 1
    models: list[_Model] = []
    kv_capacity: int = 0
    step_ms: float = 0.0
    per_seq_ms: float = 0.0
    read_per_s: float = 0.0
    stride: int = 1
    loads_per_s: float = 1.0
    loads_at_once: int = 1
    form_ms: float = 0.0


class _Service(msgspec.Struct):
    name: str
    health_path: str = '/health'
    # Limit for one replica across all callers, not for each caller.
    max_conns: int = 0
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 5_000.0
    idle_timeout_ms: float = 60_000.0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Manifest(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Absent if requests need no key at all.
    tenants: list[_Tenant] | None = None


def decode_manifest(spec: Any) -> RouteTable:
    """Return the table of routes that a stored manifest defines.

    Raises
    ------
    ValueError
        When the manifest is invalid.
    """
    manifest = msgspec.convert(spec, _Manifest, strict=False)
    return RouteTable(
        version=manifest.version,
        routes=tuple(_decode_route(route) for route in manifest.routes),
        services=tuple(
            _decode_service(service) for service in manifest.services
        ),
        holders=_decode_holders(manifest.tenants or []),
        limits=_decode_limits(manifest.limits),
        has_accounts=manifest.tenants is not None,
    )


def _decode_route(route: _Route) -> Route:
    if route.kind not in _KIND_BY_NAME:
        raise ValueError(f'route {route.name}: kind {route.kind!r}')
    splits = route.split or [_Split(route.service)]
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        kind=_KIND_BY_NAME[route.kind],
        timeout=route.timeout_ms * SECONDS_PER_MS,
        goal=route.latency_goal_ms * SECONDS_PER_MS,
        shares=tuple(
            ServiceShare(ServiceName(split.service), split.weight)
            for split in splits
        ),
        gap_goal=route.gap_goal_ms * SECONDS_PER_MS,
        most_targets=max(1, route.max_attempts),
        priority=route.priority,
        public=route.public,
        resumable=route.resumable,
    )


def _decode_service(service: _Service) -> RoutedService:
    return RoutedService(
        name=ServiceName(service.name),
        health_path=service.health_path,
        connections=service.max_conns,
        engine=None
        if service.engine is None
        else _decode_engine(service.engine),
    )


def _decode_engine(engine: _Engine) -> Engine:
    return Engine(
        places=engine.slots,
        models=tuple(
            EngineModel(
                name=ModelName(model.name),
                boxes_per_group=model.size,
                share=model.share,
                pace=model.pace,
                load_seconds=model.load_s,
                warm_seconds=model.warmup_s,
            )
            for model in engine.models
        ),
        memory_tokens=engine.kv_capacity,
        step_seconds=engine.step_ms * SECONDS_PER_MS,
        sequence_seconds=engine.per_seq_ms * SECONDS_PER_MS,
        read_per_second=engine.read_per_s,
        steps_a_pass=engine.stride,
        loads_per_second=engine.loads_per_s,
        loads_at_once=engine.loads_at_once,
        form_seconds=engine.form_ms * SECONDS_PER_MS,
    )


def _decode_limits(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_seconds=limits.header_timeout_ms * SECONDS_PER_MS,
        idle_seconds=limits.idle_timeout_ms * SECONDS_PER_MS,
    )


def _decode_holders(tenants: list[_Tenant]) -> dict[str, KeyHolder]:
    return {
        key: KeyHolder(AccountName(tenant.name), tenant.priority)
        for tenant in tenants
        for key in tenant.api_keys
    }
