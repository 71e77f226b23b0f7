"""What this node knows of routes and boxes, and how sure that is."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TYPE_CHECKING

from waywell.codes import Code, Refusal
from waywell.connection.store_era import EraTracker
from waywell.ids import ModelName
from waywell.knowledge.readiness_gate import ReadinessGate, StartupState
from waywell.knowledge.restored_entries import RestoredEntries
from waywell.telemetry.events import log_event
from waywell.version.fleet import (
    BoxLife,
    Fleet,
    Replica,
    ReplicaKey,
    compare_fleets,
    make_key,
    note_models,
)
from waywell.version.life_tracker import EndedLife, LifeTracker
from waywell.version.routes import RouteIndex, RouteTable

if TYPE_CHECKING:
    from waywell.ids import BoxId, ServiceName
    from waywell.membership.presence import PeerContacts
    from waywell.process.front_settings import PromiseSettings

EndListener = Callable[[tuple[EndedLife, ...]], None]
"""Called with the lives that a new list shows to be over."""

KEY_MARGIN = 0.4
"""Seconds by which keys are given up before the promised bound: a send that
is decided may wait this long in the machine before its bytes leave."""

ROUTES_RETRY_SECONDS = 0.5
"""Advice to callers while the routes are not confirmed."""


class ClusterView:
    """Routes and boxes in force at this node.

    Everything is replaced whole by its owner, so that the request path reads
    it without waiting.

    Parameters
    ----------
    promises
        Bounds that the operators were promised.
    eras
        Era of the platform's store.
    gate
        Keeps a node that has started from serving; open where none is given.
    """

    def __init__(
        self,
        promises: PromiseSettings,
        eras: EraTracker | None = None,
        gate: ReadinessGate | None = None,
    ) -> None:
        """Know nothing yet."""
        self.eras = eras or EraTracker()
        self.gate = gate or ReadinessGate(is_strict=False)
        self.index = RouteIndex(RouteTable(0))
        self.latest_version = 0
        self.fleet = Fleet({})
        self.fleet_serial = 0
        self.retained_boxes: frozenset[BoxId] = frozenset()
        self.last_models: dict[BoxLife, ModelName] = {}
        self.lives = LifeTracker(promises.group_stall)
        self.restored = RestoredEntries()
        self._end_listeners: list[EndListener] = []
        self._promises = promises
        self._confirmed_at = -math.inf
        self._boxes_at = -math.inf
        self._replicas: dict[tuple[ServiceName, ModelName], list[Replica]] = {}

    @property
    def has_routes(self) -> bool:
        """Return whether callers may be served by a version in force."""
        return self.index.table.version > 0 and self.gate.is_open

    def apply_routes(self, table: RouteTable) -> bool:
        """Put a version in force, unless it is not newer; answer whether."""
        if table.version <= self.index.table.version:
            return False
        self.index = RouteIndex(table)
        self.observe_version(table.version)
        self._replicas.clear()
        return True

    def observe_version(self, version: int) -> None:
        """Record a version of the routes that some node has in force."""
        self.latest_version = max(self.latest_version, version)

    def update_gate(self, contacts: PeerContacts, now: float) -> None:
        """Begin to serve where the routes were compared with those of peers.

        Parameters
        ----------
        contacts
            How far this node has reached the others.
        now
            The present time, in seconds.
        """
        view = StartupState(
            self.index.table.version,
            self.latest_version,
            self.eras.is_first_start,
            contacts,
        )
        self.gate.update(view, now)

    def confirm_routes(self, asked_at: float) -> None:
        """Note that the version in force was the newest at a moment.

        Nothing confirms a version while a later one is known.

        Parameters
        ----------
        asked_at
            When the question was sent whose answer said so, in seconds.
        """
        if self.latest_version <= self.index.table.version:
            self._confirmed_at = max(self._confirmed_at, asked_at)

    def begin_recovery(self, now: float) -> None:
        """Hold what is known of boxes against a store that has come back."""
        self.restored.begin(now)

    def update_fleet(self, fleet: Fleet, asked_at: float, now: float) -> bool:
        """Put a box list in force, or confirm the one that is.

        Parameters
        ----------
        fleet
            The list.
        asked_at
            When it was asked for, in seconds.
        now
            The present time, in seconds.

        Returns
        -------
        bool
            Whether the list is a new one, and in force.
        """
        known = self.fleet.boxes
        boxes = self.restored.resolve(fleet.boxes, known, self.lives, now)
        if boxes == known:
            self.confirm_fleet(asked_at)
            return False
        if not self.is_newer_fleet(asked_at):
            return False
        is_as_listed = boxes is fleet.boxes
        self.apply_fleet(fleet if is_as_listed else Fleet(boxes), asked_at)
        return True

    def apply_fleet(self, fleet: Fleet, asked_at: float) -> None:
        """Put a box list in force that was asked for at a moment."""
        change = compare_fleets(self.fleet, fleet)
        note_models(self.last_models, self.fleet, change)
        ended = self.lives.update(fleet, change, asked_at)
        self.fleet = fleet
        self.fleet_serial += 1
        self._boxes_at = max(self._boxes_at, asked_at)
        self._replicas.clear()
        if ended:
            self._tell_ended(ended)

    def add_end_listener(self, listener: EndListener) -> None:
        """Call a listener with the lives that a new list shows to be over."""
        self._end_listeners.append(listener)

    def is_newer_fleet(self, asked_at: float) -> bool:
        """Answer whether a list of a moment is newer than the one in force."""
        return asked_at > self._boxes_at

    def confirm_fleet(self, asked_at: float) -> None:
        """Note that the box list was the newest at a moment."""
        self._boxes_at = max(self._boxes_at, asked_at)

    def get_routes_age(self, now: float) -> float:
        """Return for how long the routes are not confirmed, in seconds."""
        return round(now - self._confirmed_at, 3)

    def get_boxes_age(self, now: float) -> float:
        """Return for how long the box list is not confirmed, in seconds."""
        return round(now - self._boxes_at, 3)

    def check_routes(self, now: float) -> None:
        """Refuse while nothing sure enough is known.

        Raises
        ------
        Refusal
            Before the first version, or when the one in force may be old.
        """
        if not self.has_routes:
            raise Refusal(Code.NODE_STARTING, retry_after=ROUTES_RETRY_SECONDS)
        self.check_keys(now)

    def check_keys(self, now: float) -> None:
        """Refuse when a key may have been removed unnoticed.

        Raises
        ------
        Refusal
            When the routes are not confirmed within the promised bound.
        """
        if not self.are_keys_fresh(now):
            raise Refusal(Code.ROUTES_STALE, retry_after=ROUTES_RETRY_SECONDS)

    def are_keys_fresh(self, now: float) -> bool:
        """Answer whether a key that is known here can be relied on.

        Where removed keys need not be refused at any price, the last known
        routes serve through an outage of the platform.
        """
        if not self._promises.keys_strict:
            return True
        bound = self._promises.keys_refused_within - KEY_MARGIN
        return now - self._confirmed_at < bound

    def list_replicas(
        self,
        service: ServiceName,
        model: ModelName,
    ) -> list[Replica]:
        """Return the replicas that may get a request."""
        key = (service, model)
        found = self._replicas.get(key)
        if found is None:
            found = self._find_replicas(service, model)
            self._replicas[key] = found
        return found

    def count_serving(self) -> dict[str, int]:
        """Return how many replicas may get requests, by service and model."""
        counts = {}
        for service in self.index.table.services:
            models = service.engine.models if service.engine else ()
            names = [model.name for model in models] or [ModelName('')]
            for name in names:
                replicas = self.list_replicas(service.name, name)
                counts[f'{service.name}/{name}'] = len(replicas)
        return counts

    def list_replica_keys(self) -> set[ReplicaKey]:
        """Return the identities of all boxes with their present epochs."""
        return {make_key(box) for box in self.fleet.boxes.values()}

    def may_send_to(self, replica: Replica) -> bool:
        """Answer whether a replica that was chosen is still in force."""
        box = self.fleet.boxes.get(replica.key.box)
        if box is None or box.leaving or box.life != replica.key.life:
            return False
        if box.standing is None:
            return not replica.group
        return box.standing.epoch == replica.key.epoch

    def exclude_replica(self, replica: Replica) -> None:
        """Take a replica out that disowns its group; a new list clears it."""
        for found in self._replicas.values():
            if replica in found:
                found.remove(replica)

    def _tell_ended(self, ended: tuple[EndedLife, ...]) -> None:
        for one in ended:
            log_event(
                'box_restarted',
                box=one.life.box,
                ended=one.life.incarnation,
                group=one.standing.group if one.standing else '',
            )
        for listener in self._end_listeners:
            listener(ended)

    def _find_replicas(
        self,
        service: ServiceName,
        name: ModelName,
    ) -> list[Replica]:
        known = self.index.find_service(service)
        engine = known.engine if known else None
        if engine is None or not engine.models:
            return self.fleet.list_plain(service)
        model = engine.find_model(name)
        if model is None:
            return []
        return self.fleet.list_serving(
            service, model.name, model.boxes_per_group
        )


def make_gated_cluster_view(
    promises: PromiseSettings,
    eras: EraTracker,
) -> ClusterView:
    """Return the cluster view of a node whose readiness gate may be closed."""
    return ClusterView(promises, eras, ReadinessGate(promises.keys_strict))
