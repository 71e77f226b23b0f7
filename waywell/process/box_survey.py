"""Which boxes are asked how they are, and what their answers change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.process.events import log_event, log_warning
from waywell.version.box_report import BoxReport, ReportReading
from waywell.version.fleet import BoxLife, FleetBox, is_same_life

if TYPE_CHECKING:
    from collections.abc import Callable

    from waywell.process.outlook import Outlook
    from waywell.version.forming_memory import FormingMemory

ASK_AGAIN_SECONDS = 1.0
"""Between two questions to a box that is listed, and lost or slow."""


class BoxSurvey:
    """Asks boxes for signs of life and takes in what they tell.

    Parameters
    ----------
    outlook
        Where the box list is.
    begin
        Begins to ask a box; its answer is taken in later.
    """

    def __init__(
        self,
        outlook: Outlook,
        begin: Callable[[FleetBox], None],
    ) -> None:
        """Ask nobody yet."""
        self._outlook = outlook
        self._begin = begin
        self._asking: set[BoxLife] = set()

    def ask(self, box: FleetBox) -> None:
        """Ask a box how it is, unless its answer is waited for."""
        if box.life not in self._asking:
            self._asking.add(box.life)
            self._begin(box)

    def take(
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
        if report is None or not _is_of(box, report):
            self._note_lost(memory, box, report, now)
            return
        if box.life in memory.lost:
            memory.lost.pop(box.life)
            log_event('box_back', box=box.box)
        self._note_report(memory, box, report, now)

    def ask_troubled(self, memory: FormingMemory, now: float) -> None:
        """Ask lost and slow boxes again while they are listed."""
        fleet = self._outlook.fleet
        for lost, asked_at in tuple(memory.lost.items()):
            box = fleet.find_life(lost)
            if box is None:
                memory.lost.pop(lost)
            elif now - asked_at > ASK_AGAIN_SECONDS:
                self.ask(box)
        for told in tuple(memory.reports):
            box = fleet.find_life(told)
            if box is None:
                memory.reports.pop(told)
            elif memory.is_slow(told):
                self._ask_again(memory, box, now)

    def ask_kept(self, memory: FormingMemory, now: float) -> None:
        """Ask boxes whose entries have gone whether they live."""
        for name in self._outlook.kept:
            box = self._outlook.fleet.boxes.get(name)
            if box is not None and box.life not in memory.lost:
                self._ask_again(memory, box, now)

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
        memory.reports[box.life] = ReportReading(report, now)
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
        for other in self._outlook.fleet.boxes.values():
            is_mate = other.domain == box.domain
            is_lost = other.life in memory.lost
            if is_mate and other.service == box.service and not is_lost:
                self._ask_again(memory, other, now)

    def _ask_again(
        self,
        memory: FormingMemory,
        box: FleetBox,
        now: float,
    ) -> None:
        """Ask a box how it is, unless it told a moment ago."""
        reading = memory.reports.get(box.life)
        if reading is None or now - reading.read_at > ASK_AGAIN_SECONDS:
            self.ask(box)


def _is_of(box: FleetBox, report: BoxReport) -> bool:
    """Answer whether a report is of the life that the list shows."""
    return is_same_life(box.incarnation, report.incarnation)
