"""A node's view of routes and boxes, and the age of each."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import TYPE_CHECKING

from waywell.codes import Code, Refusal
from waywell.connection.store_era import EraTracker
from waywell.ids import BoxId, ModelName
from waywell.knowledge.poll_intervals import BOX_USABLE_AGE_FRACTION
from waywell.knowledge.readiness_gate import ReadinessGate, StartupState
from waywell.knowledge.restored_entries import RestoredEntries
from waywell.knowledge.store_outage import OutageTracker
from waywell.telemetry.events import log_event
from waywell.version.fleet import (
    BoxLife,
    Fleet,
    Replica,
    ReplicaKey,
    compare_fleets,
    make_replica_key,
    update_last_models,
)
from waywell.version.life_tracker import EndedLife, LifeTracker
from waywell.version.routes import RouteIndex, RouteTable

if TYPE_CHECKING:
    from waywell.ids import ServiceName
    from waywell.membership.presence import PeerContacts
    from waywell.process.front_settings import PromiseSettings

EndListener = Callable[[tuple[EndedLife, ...]], None]
"""Called with the lives that a new box list shows to have ended."""

BoxExpiries = Mapping[BoxId, float]
"""Times until which boxes without an entry may get requests, in seconds."""

NO_EXPIRIES: BoxExpiries = MappingProxyType({})
"""Expiries of a list whose boxes all have entries."""

KEY_MARGIN = 0.4
"""Seconds before the promised bound at which keys expire: a request that was
accepted may be delayed this long on the machine before its bytes leave."""

ROUTES_RETRY_SECONDS = 0.5
"""Value of Retry-After, in seconds, while the routes are not confirmed."""


class ClusterView:
    """Routes and boxes in force at this node.

    Routes and box list are replaced as a whole, so that the request path
    reads them without locking.

    Parameters
    ----------
    promises
        Time bounds promised to the operators.
    eras
        Era of the platform's store.
    gate
        Delays serving after a start; open if none is given.
    """

    def __init__(
        self,
        promises: PromiseSettings,
        eras: EraTracker | None = None,
        gate: ReadinessGate | None = None,
    ) -> None:
        """Create a view without routes and boxes."""
        self.eras = eras or EraTracker()
        self.gate = gate or ReadinessGate(is_strict=False)
        self.index = RouteIndex(RouteTable(0))
        self.latest_version = 0
        self.fleet = Fleet({})
        self.fleet_serial = 0
        self.retained_boxes: frozenset[BoxId] = frozenset()
        self.expiries = NO_EXPIRIES
        self.outage = OutageTracker()
        self.last_models: dict[BoxLife, ModelName] = {}
        self.lives = LifeTracker(promises.group_stall)
        self.restored = RestoredEntries()
        self._end_listeners: list[EndListener] = []
        self._promises = promises
        self._routes_confirmed_at = -math.inf
        self._boxes_confirmed_at = -math.inf
        self._replicas: dict[tuple[ServiceName, ModelName], list[Replica]] = {}

    @property
    def has_routes(self) -> bool:
        """Return whether routes are in force and the gate is open."""
        return self.index.table.version > 0 and self.gate.is_open

    def apply_routes(self, table: RouteTable) -> bool:
        """Put routes in force if they are newer; return whether they are."""
        if table.version <= self.index.table.version:
            return False
        self.index = RouteIndex(table)
        self.observe_version(table.version)
        self._replicas.clear()
        return True

    def observe_version(self, version: int) -> None:
        """Record that some node has a version of the routes in force."""
        self.latest_version = max(self.latest_version, version)

    def update_gate(self, contacts: PeerContacts, now: float) -> None:
        """Open the readiness gate if the routes in force may be relied on.

        Parameters
        ----------
        contacts
            Peers and open calls of this node.
        now
            The current time, in seconds.
        """
        state = StartupState(
            self.index.table.version,
            self.latest_version,
            self.eras.is_first_start,
            contacts,
        )
        self.gate.update(state, now)

    def confirm_routes(self, asked_at: float) -> None:
        """Record that the version in force was the newest at a given time.

        A version is not confirmed while a newer one is known.

        Parameters
        ----------
        asked_at
            Time at which the confirming query was sent, in seconds.
        """
        if self.latest_version <= self.index.table.version:
            self._routes_confirmed_at = max(
                self._routes_confirmed_at, asked_at
            )

    def begin_recovery(self, now: float) -> None:
        """Prefer known boxes over outdated entries of a restored store."""
        self.restored.begin(now)

    def update_fleet(
        self,
        fleet: Fleet,
        asked_at: float,
        now: float,
        expiries: BoxExpiries = NO_EXPIRIES,
    ) -> bool:
        """Put a box list in force, or confirm the one in force.

        Outdated entries of a restored store are corrected first. A list that
        differs is ignored unless it is newer.

        Parameters
        ----------
        fleet
            Boxes as the store or another node lists them.
        asked_at
            Time at which the list was requested, in seconds.
        now
            The current time, in seconds.
        expiries
            Boxes of the list that have no entry, with their expiries.

        Returns
        -------
        bool
            Whether a different list was put in force.
        """
        known = self.fleet.boxes
        boxes = self.restored.resolve(fleet.boxes, known, self.lives, now)
        is_newer = asked_at > self._boxes_confirmed_at
        if is_newer:
            self.expiries = expiries
        if boxes == known:
            self.confirm_fleet(asked_at)
            return False
        if not is_newer:
            return False
        is_as_listed = boxes is fleet.boxes
        self.apply_fleet(fleet if is_as_listed else Fleet(boxes), asked_at)
        return True

    def apply_fleet(self, fleet: Fleet, asked_at: float) -> None:
        """Put a box list in force that was requested at a given time.

        Listeners are called with the lives that the list shows to have ended.
        """
        change = compare_fleets(self.fleet, fleet)
        update_last_models(self.last_models, self.fleet, change)
        ended = self.lives.update(fleet, change, asked_at)
        self.fleet = fleet
        self.fleet_serial += 1
        self._boxes_confirmed_at = max(self._boxes_confirmed_at, asked_at)
        self._replicas.clear()
        if ended:
            self._report_ended(ended)

    def add_end_listener(self, listener: EndListener) -> None:
        """Register a listener for lives that a new box list shows as ended."""
        self._end_listeners.append(listener)

    def confirm_fleet(self, asked_at: float) -> None:
        """Record that the box list was the newest at a given time."""
        self._boxes_confirmed_at = max(self._boxes_confirmed_at, asked_at)

    def get_routes_age(self, now: float) -> float:
        """Return the seconds since the routes were last confirmed."""
        return round(now - self._routes_confirmed_at, 3)

    def get_boxes_age(self, now: float) -> float:
        """Return the seconds since the box list was last confirmed."""
        return round(now - self._boxes_confirmed_at, 3)

    def check_routes(self, now: float) -> None:
        """Refuse a request unless the routes in force are usable.

        Raises
        ------
        Refusal
            If the node has no routes or is not ready, or if a key may have
            been removed since the routes were confirmed.
        """
        if not self.has_routes:
            raise Refusal(Code.NODE_STARTING, retry_after=ROUTES_RETRY_SECONDS)
        self.check_keys(now)

    def check_keys(self, now: float) -> None:
        """Refuse a request if its key may have been removed since.

        Raises
        ------
        Refusal
            If the routes were not confirmed within the promised bound.
        """
        if not self.are_keys_fresh(now):
            raise Refusal(Code.ROUTES_STALE, retry_after=ROUTES_RETRY_SECONDS)

    def are_keys_fresh(self, now: float) -> bool:
        """Return whether the known keys may be accepted.

        Unless ``keys_strict`` is set, the last known routes remain valid
        during an outage of the platform.
        """
        if not self._promises.keys_strict:
            return True
        bound = self._promises.keys_refused_within - KEY_MARGIN
        return now - self._routes_confirmed_at < bound

    def are_boxes_current(self, now: float) -> bool:
        """Return whether requests may be sent by the box list in force.

        A box may have left since an old list was confirmed, unless the store
        doesn't answer this node: an outage does not end the service.
        """
        bound = BOX_USABLE_AGE_FRACTION * self._promises.leaving_within
        return self.get_boxes_age(now) < bound or self.outage.is_overdue

    def list_replicas(
        self,
        service: ServiceName,
        model: ModelName,
    ) -> list[Replica]:
        """Return the replicas of a model that may receive requests."""
        key = (service, model)
        found = self._replicas.get(key)
        if found is None:
            found = self._find_replicas(service, model)
            self._replicas[key] = found
        return found

    def count_serving(self) -> dict[str, int]:
        """Count the replicas that may receive requests per service/model."""
        counts = {}
        for service in self.index.table.services:
            models = service.engine.models if service.engine else ()
            names = [model.name for model in models] or [ModelName('')]
            for name in names:
                replicas = self.list_replicas(service.name, name)
                counts[f'{service.name}/{name}'] = len(replicas)
        return counts

    def list_replica_keys(self) -> set[ReplicaKey]:
        """Return the replica keys of all boxes in their current epochs."""
        return {make_replica_key(box) for box in self.fleet.boxes.values()}

    def may_send_to(self, replica: Replica, now: float) -> bool:
        """Return whether a chosen replica may still receive a request.

        It may not once its box leaves, expires or restarts, or its group
        changes, nor by an old box list.
        """
        if not self.are_boxes_current(now):
            return False
        box = self.fleet.boxes.get(replica.key.box)
        if box is None or box.leaving or box.life != replica.key.life:
            return False
        if now >= self.expiries.get(box.box, math.inf):
            return False
        if box.standing is None:
            return not replica.group
        return box.standing.epoch == replica.key.epoch

    def exclude_replica(self, replica: Replica) -> None:
        """Exclude a replica that has denied its group membership.

        The next box list or routes put in force end the exclusion.
        """
        for found in self._replicas.values():
            if replica in found:
                found.remove(replica)

    def _report_ended(self, ended: tuple[EndedLife, ...]) -> None:
        for former in ended:
            log_event(
                'box_restarted',
                box=former.life.box,
                ended=former.life.incarnation,
                group=former.standing.group if former.standing else '',
            )
        for listener in self._end_listeners:
            listener(ended)

    def _find_replicas(
        self,
        service: ServiceName,
        name: ModelName,
    ) -> list[Replica]:
        routed = self.index.find_service(service)
        engine = routed.engine if routed else None
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
    """Return the view of a starting node, gated if keys are strict."""
    return ClusterView(promises, eras, ReadinessGate(promises.keys_strict))
