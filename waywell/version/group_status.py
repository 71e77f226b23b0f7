"""Assessment of groups: what must be done about each of them."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from waywell.version.fleet import (
    Fleet,
    FleetGroup,
    MemberState,
    parse_group_model,
)
from waywell.version.forming_memory import (
    JOIN_TIMEOUT_SECONDS,
    LOAD_TIMEOUT_FACTOR,
    FormingMemory,
)
from waywell.version.routes import Engine

if TYPE_CHECKING:
    from waywell.version.routes import EngineModel


class GroupStatus(enum.Enum):
    """State of a group, by what must be done about it."""

    SERVING = 'serving'
    """The group serves with all members; nothing to do."""

    PENDING = 'under_way'
    """The group forms, closes, or may still serve somewhere; nothing to do
    yet."""

    READY = 'ready'
    """The group is ready to be opened."""

    MUST_CLOSE = 'close'
    """A member is leaving or the model is unwanted; the group must finish its
    work."""

    HEADLESS = 'headless'
    """The head is lost; the other members must leave at once."""

    MUST_LEAVE = 'break'
    """A member is lost or the group can't be opened; the head must leave at
    once."""

    FREE = 'free'
    """The group serves nowhere; its boxes may join others."""


@attrs.frozen
class GroupAssessor:
    """Assesses the groups of one service at one moment."""

    fleet: Fleet
    """Boxes of the service."""

    engine: Engine
    """Engine of the service, with its models."""

    memory: FormingMemory
    """State of the duty's holder; updated by the assessment."""

    now: float
    """Current time, in seconds."""

    def assess(self, group: FleetGroup) -> GroupStatus:
        """Return the status of a group."""
        model = self.engine.find_model(parse_group_model(group.group))
        if model is None:
            return self._assess_unwanted(group)
        leaving = any(member.leaving for member in group.members)
        whole = len(group.members) == model.boxes_per_group
        if whole and not leaving:
            return self._assess_whole(group, model)
        if whole:
            return self._assess_unwanted(group)
        return self._assess_incomplete(group)

    def _assess_whole(
        self, group: FleetGroup, model: EngineModel
    ) -> GroupStatus:
        state = _get_head_state(group)
        if state is MemberState.OPEN:
            self.memory.stalled_since.pop(group.group, None)
            self.memory.heads[group.group] = group.members[0]
            return GroupStatus.SERVING
        if state is MemberState.CLOSING:
            return GroupStatus.PENDING
        if state is MemberState.BROKEN:
            return GroupStatus.FREE
        if group.is_in(MemberState.READY):
            return self._assess_ready(group)
        if group.is_in(MemberState.READY, MemberState.JOINING):
            return self._assess_joining(group, model)
        return self._assess_not_serving(group)

    def _assess_ready(self, group: FleetGroup) -> GroupStatus:
        """Assess a group whose boxes are all ready."""
        if group.group in self.memory.openings.openable:
            return GroupStatus.READY
        return self._assess_not_serving(group)

    def _assess_joining(
        self,
        group: FleetGroup,
        model: EngineModel,
    ) -> GroupStatus:
        """Assess a group some of whose boxes are loading the model."""
        first_seen = self.memory.stalled_since.setdefault(
            group.group, self.now
        )
        timeout = (
            LOAD_TIMEOUT_FACTOR * model.load_seconds + JOIN_TIMEOUT_SECONDS
        )
        if self.now - first_seen > timeout:
            return self._assess_not_serving(group)
        return GroupStatus.PENDING

    def _assess_not_serving(self, group: FleetGroup) -> GroupStatus:
        """Assess a group that no box reports as serving.

        An order to open it that this holder or another one may have sent can
        still take effect; once the head has left, it can't.
        """
        if group.group in self.memory.openings.unopened:
            return GroupStatus.FREE
        return GroupStatus.MUST_LEAVE

    def _assess_unwanted(self, group: FleetGroup) -> GroupStatus:
        """Assess a whole group that must end in good order."""
        state = _get_head_state(group)
        if state is MemberState.OPEN:
            return GroupStatus.MUST_CLOSE
        if state is MemberState.CLOSING:
            return GroupStatus.PENDING
        if state is MemberState.BROKEN:
            return GroupStatus.FREE
        return self._assess_not_serving(group)

    def _assess_incomplete(self, group: FleetGroup) -> GroupStatus:
        """Assess a group some of whose members are not on the box list."""
        first_seen = self.memory.stalled_since.setdefault(
            group.group, self.now
        )
        waited = self.now - first_seen
        if self._is_gathering(group):
            return GroupStatus.PENDING
        head = group.head
        if head is None:
            return self._assess_headless(group)
        state = _get_head_state(group)
        if state in {MemberState.OPEN, MemberState.CLOSING}:
            return GroupStatus.MUST_LEAVE
        if state is MemberState.JOINING and waited < JOIN_TIMEOUT_SECONDS:
            return GroupStatus.PENDING
        if state is MemberState.BROKEN:
            return GroupStatus.FREE
        return self._assess_not_serving(group)

    def _assess_headless(self, group: FleetGroup) -> GroupStatus:
        """Assess a group whose head is off the box list but may still serve.

        The head may only be cut off from the platform, for any length of time.
        The other members therefore stay until each of them has left, unless
        the group was never opened, its head is known to have left, or the head
        has begun a new life.
        """
        if group.group in self.memory.groups_left_by_head:
            return GroupStatus.FREE
        if self.memory.lives.has_group_ended(group.group):
            return GroupStatus.FREE
        if group.group in self.memory.openings.unopened:
            return GroupStatus.FREE
        return GroupStatus.HEADLESS

    def _is_gathering(self, group: FleetGroup) -> bool:
        """Return whether the missing members may just not be listed yet."""
        forming = self.memory.forming.get(group.group)
        if forming is None or not forming.is_fresh(self.now):
            return False
        boxes = [self.fleet.find_life(life) for life in forming.members]
        return all(box is not None and not box.leaving for box in boxes)


def _get_head_state(group: FleetGroup) -> MemberState | None:
    head = group.head
    if head is None or head.standing is None:
        return None
    return head.standing.state
