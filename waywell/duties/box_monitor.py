"""Which boxes are asked how they are, and what their answers change.

Answers cuts between the boxes and the nodes' orders, while callers' requests
still run: a box that does not answer the holder is lost only where no request
speaks for its group.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from waywell.telemetry.events import log_event, log_warning
from waywell.version.box_report import BoxReport, TimedReport
from waywell.version.fleet import BoxLife, FleetBox, may_be_same_life

if TYPE_CHECKING:
    from collections.abc import Callable

    from waywell.ids import GroupId
    from waywell.knowledge.outlook import Outlook
    from waywell.version.fleet import FleetGroup
    from waywell.version.forming_memory import FormingMemory

REPROBE_SECONDS = 1.0
"""Between two questions to a box that is listed, and lost or slow."""


DOUBT_LIFETIME_SECONDS = 2.0
"""For which a group that a node has doubted is not spoken for by its requests:
those that were sent before still count as in flight."""

DOUBT_DELAY_SECONDS = 0.35
"""From a doubt until it says something: a sound group pauses while it reads
long prompts, and a node that hears it go on takes the doubt back."""


class BoxMonitor:
    """Asks boxes for signs of life and takes in what they tell.

    Parameters
    ----------
    outlook
        Where the box list is.
    begin
        Begins to ask a box; its answer is taken in later.
    count_requests
        Returns the requests in flight at a box, of all nodes.
    """

    def __init__(
        self,
        outlook: Outlook,
        begin: Callable[[FleetBox], None],
        count_requests: Callable[[BoxLife], int],
    ) -> None:
        """Ask nobody yet."""
        self._outlook = outlook
        self._begin = begin
        self._count_requests = count_requests
        self._asking: set[BoxLife] = set()
        self._doubted_at: dict[GroupId, float] = {}
        self._unreached: dict[BoxLife, float] = {}

    def record_doubt(self, group: FleetGroup, now: float) -> None:
        """Take in that a node hears nothing of a group any more."""
        self._doubted_at[group.group] = now
        for member in group.members:
            self.probe(member)

    def clear_doubt(self, group: GroupId) -> None:
        """Take in that a doubted group goes on."""
        self._doubted_at.pop(group, None)

    def probe(self, box: FleetBox) -> None:
        """Ask a box how it is, unless its answer is waited for."""
        if box.life not in self._asking:
            self._asking.add(box.life)
            self._begin(box)

    def discard_probe(self, box: FleetBox) -> None:
        """Take in that a question says nothing of its box."""
        self._asking.discard(box.life)

    def record_result(
        self,
        memory: FormingMemory,
        box: FleetBox,
        report: BoxReport | None,
        now: float,
    ) -> None:
        """Take in an answer, or that none came.

        Parameters
        ----------
        memory
            What the holder of the duty remembers; changed.
        box
            The box, as it was listed when it was asked.
        report
            What it told; ``None`` where nothing came.
        now
            The present time, in seconds.
        """
        self._asking.discard(box.life)
        if report is None and self._is_spoken_for(box, now):
            self._note_unreached(memory, box, now)
            return
        self._unreached.pop(box.life, None)
        if report is None or not _is_of(box, report):
            self._note_lost(memory, box, report, now)
            return
        if box.life in memory.lost:
            memory.lost.pop(box.life)
            log_event('box_back', box=box.box)
        self._note_report(memory, box, report, now)

    def probe_failing(self, memory: FormingMemory, now: float) -> None:
        """Ask lost, unreached and slow boxes again while they are listed."""
        self._forget_old(now)
        for troubled in (memory.lost, self._unreached):
            for box in self._list_due(troubled, now):
                self.probe(box)
        fleet = self._outlook.fleet
        for told in tuple(memory.reports):
            known = fleet.find_life(told)
            if known is None:
                memory.reports.pop(told)
            elif memory.is_slow(told):
                self._ask_again(memory, known, now)

    def probe_unlisted(self, memory: FormingMemory, now: float) -> None:
        """Ask boxes whose entries have gone whether they live."""
        for name in self._outlook.kept:
            box = self._outlook.fleet.boxes.get(name)
            if box is not None and box.life not in memory.lost:
                self._ask_again(memory, box, now)

    def _is_spoken_for(self, box: FleetBox, now: float) -> bool:
        """Answer whether requests run at a box's group, and none stands still.

        A group that lost a member stands still, which the nodes whose streams
        run there notice within a fraction of a second, and doubt it.
        """
        standing = box.standing
        if standing is None:
            return False
        doubted_at = self._doubted_at.get(standing.group, -math.inf)
        group = self._outlook.fleet.groups.get(standing.group)
        head = group.head if group else None
        if head is None:
            return False
        if DOUBT_DELAY_SECONDS < now - doubted_at < DOUBT_LIFETIME_SECONDS:
            return False
        return self._count_requests(head.life) > 0

    def _note_unreached(
        self,
        memory: FormingMemory,
        box: FleetBox,
        now: float,
    ) -> None:
        """Remember that a box of a group that serves does not answer."""
        if box.life not in self._unreached:
            log_warning('box_unreached', box=box.box)
            self._ask_mates(memory, box, now)
        self._unreached[box.life] = now

    def _list_due(
        self,
        troubled: dict[BoxLife, float],
        now: float,
    ) -> list[FleetBox]:
        """Return the boxes to ask again; forget those that are gone."""
        due = []
        for life, asked_at in tuple(troubled.items()):
            box = self._outlook.fleet.find_life(life)
            if box is None:
                troubled.pop(life)
            elif now - asked_at > REPROBE_SECONDS or self._is_doubted(box):
                due.append(box)
        return due

    def _is_doubted(self, box: FleetBox) -> bool:
        """Answer whether a node hears nothing of a box's group just now."""
        standing = box.standing
        return standing is not None and standing.group in self._doubted_at

    def _forget_old(self, now: float) -> None:
        for group, doubted_at in tuple(self._doubted_at.items()):
            if now - doubted_at > DOUBT_LIFETIME_SECONDS:
                self._doubted_at.pop(group)

    def _note_lost(
        self,
        memory: FormingMemory,
        box: FleetBox,
        report: BoxReport | None,
        now: float,
    ) -> None:
        """Count a life of a box as lost; where it is news, ask its mates.

        A box that tells another life than the list has started again: what
        the list shows of it is over.
        """
        is_news = box.life not in memory.lost
        memory.lost[box.life] = now
        if is_news:
            event = 'box_silent' if report is None else 'box_restarting'
            log_warning(event, box=box.box, ended=box.incarnation)
            self._ask_mates(memory, box, now)

    def _note_report(
        self,
        memory: FormingMemory,
        box: FleetBox,
        report: BoxReport,
        now: float,
    ) -> None:
        """Keep what a box told; where it is slow, others may be as well."""
        was_slow = memory.is_slow(box.life)
        memory.reports[box.life] = TimedReport(report, now)
        if report.is_slow() != was_slow:
            event = 'box_slow' if report.is_slow() else 'box_fast'
            log_event(event, box=box.box, pace=report.pace)
        if report.is_slow():
            self._ask_mates(memory, box, now)

    def _ask_mates(
        self,
        memory: FormingMemory,
        box: FleetBox,
        now: float,
    ) -> None:
        """Ask the boxes of a domain where one is silent or slow.

        What hits one box often hits more.  Those that no request depends on
        are noticed by nobody else until their entries lapse, and groups were
        formed of them in vain: of 20 boxes of 171 that went silent at one
        moment, the holder knew 9 at the most after 2 s (one day's log).
        """
        silent = memory.lost.keys() | self._unreached.keys()
        for other in self._outlook.fleet.boxes.values():
            is_mate = other.domain == box.domain
            is_mate = is_mate and other.service == box.service
            if is_mate and other.life not in silent:
                self._ask_again(memory, other, now)

    def _ask_again(
        self,
        memory: FormingMemory,
        box: FleetBox,
        now: float,
    ) -> None:
        """Ask a box how it is, unless it told a moment ago."""
        reading = memory.reports.get(box.life)
        if reading is None or now - reading.read_at > REPROBE_SECONDS:
            self.probe(box)


def _is_of(box: FleetBox, report: BoxReport) -> bool:
    """Answer whether a report is of the life that the list shows."""
    return may_be_same_life(box.incarnation, report.incarnation)
