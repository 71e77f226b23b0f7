"""What is to be done about a group of boxes, judged by what they tell."""

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
    GATHER_SECONDS,
    LOAD_PATIENCE,
    FormingMemory,
)
from waywell.version.routes import Engine

if TYPE_CHECKING:
    from waywell.version.routes import EngineModel


class Verdict(enum.Enum):
    """What is to be done about a group."""

    SERVING = 'serving'
    """Nothing: it serves whole."""

    UNDER_WAY = 'under_way'
    """Nothing yet: it forms, closes, or may still serve somewhere."""

    READY = 'ready'
    """It is to be opened."""

    CLOSE = 'close'
    """It is to finish its work: a member leaves."""

    HEADLESS = 'headless'
    """Its head is lost; the others are to leave it at once."""

    BREAK = 'break'
    """It has lost a member; the head is to leave it at once."""

    FREE = 'free'
    """It serves nowhere; its boxes may join others."""


@attrs.frozen
class GroupJudge:
    """Judges groups at one moment."""

    fleet: Fleet
    """The box list."""

    engine: Engine
    """Engines of the service."""

    memory: FormingMemory
    """What the holder remembers."""

    now: float
    """The present time, in seconds."""

    def judge(self, group: FleetGroup) -> Verdict:
        """Return what is to be done about a group."""
        model = self.engine.find_model(parse_group_model(group.group))
        if model is None:
            return self._judge_unwanted(group)
        leaving = any(member.leaving for member in group.members)
        whole = len(group.members) == model.boxes_per_group
        if whole and not leaving:
            return self._judge_whole(group, model)
        if whole:
            return self._judge_unwanted(group)
        return self._judge_incomplete(group)

    def _judge_whole(self, group: FleetGroup, model: EngineModel) -> Verdict:
        state = _get_head_state(group)
        if state is MemberState.OPEN:
            self.memory.seen_at.pop(group.group, None)
            self.memory.heads[group.group] = group.members[0]
            return Verdict.SERVING
        if state is MemberState.CLOSING:
            return Verdict.UNDER_WAY
        if state is MemberState.BROKEN:
            return Verdict.FREE
        if group.is_in(MemberState.READY):
            return self._judge_ready(group)
        if group.is_in(MemberState.READY, MemberState.JOINING):
            return self._judge_joining(group, model)
        return self._judge_closed(group)

    def _judge_ready(self, group: FleetGroup) -> Verdict:
        """Judge a group whose boxes are all ready."""
        if group.group in self.memory.rights.openable:
            return Verdict.READY
        return self._judge_closed(group)

    def _judge_joining(
        self,
        group: FleetGroup,
        model: EngineModel,
    ) -> Verdict:
        """Judge a group some of whose boxes load the model."""
        seen = self.memory.seen_at.setdefault(group.group, self.now)
        patience = LOAD_PATIENCE * model.load_seconds + GATHER_SECONDS
        if self.now - seen > patience:
            return self._judge_closed(group)
        return Verdict.UNDER_WAY

    def _judge_closed(self, group: FleetGroup) -> Verdict:
        """Judge a group that no box shows to serve.

        Where an order to open it may have been given, by this holder or by
        another, it may still take effect; it can't once the head has left.
        """
        if group.group in self.memory.rights.unopened:
            return Verdict.FREE
        return Verdict.BREAK

    def _judge_unwanted(self, group: FleetGroup) -> Verdict:
        """Judge a whole group that is to end in good order."""
        state = _get_head_state(group)
        if state is MemberState.OPEN:
            return Verdict.CLOSE
        if state is MemberState.CLOSING:
            return Verdict.UNDER_WAY
        if state is MemberState.BROKEN:
            return Verdict.FREE
        return self._judge_closed(group)

    def _judge_incomplete(self, group: FleetGroup) -> Verdict:
        """Judge a group some of whose members are not on the list."""
        seen = self.memory.seen_at.setdefault(group.group, self.now)
        waited = self.now - seen
        if self._is_gathering(group):
            return Verdict.UNDER_WAY
        head = group.head
        if head is None:
            return self._judge_headless(group)
        state = _get_head_state(group)
        if state in {MemberState.OPEN, MemberState.CLOSING}:
            return Verdict.BREAK
        if state is MemberState.JOINING and waited < GATHER_SECONDS:
            return Verdict.UNDER_WAY
        if state is MemberState.BROKEN:
            return Verdict.FREE
        return self._judge_closed(group)

    def _judge_headless(self, group: FleetGroup) -> Verdict:
        """Judge a group whose head is not listed, but may still serve.

        It may be cut off from the platform only, for any time, so the
        others stay with it until each has left, unless it was never opened or
        has begun a new life.
        """
        if group.group in self.memory.settled:
            return Verdict.FREE
        if self.memory.lives.has_ended(group.group):
            return Verdict.FREE
        if group.group in self.memory.rights.unopened:
            return Verdict.FREE
        return Verdict.HEADLESS

    def _is_gathering(self, group: FleetGroup) -> bool:
        """Answer whether its other members may only not show it yet."""
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
