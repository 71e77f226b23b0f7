"""Entries of the journal, as far as reports read them."""

from __future__ import annotations

from pathlib import Path

import msgspec

from waywell.telemetry.events import log_warning

DRAWN = ('fresh', 'hunt', 'mix')
"""Beginnings of the names of days that were drawn."""

Price = tuple[str, float, float | None]
"""What was paid for, how much of it, and the worth that it took; none where
nothing was owed."""


class JournalDay(msgspec.Struct, frozen=True):
    """One played day."""

    name: str
    """Name of the day, with its seed where it was drawn."""

    worth: float = msgspec.field(name='G', default=0.0)
    """Worth, less prices, as a share of what was owed."""

    served: float = 0.0
    """Share of what was owed that was earned, before prices."""

    rules: dict[str, int] = {}
    """Broken rules, with how often."""

    fault: str | None = None
    """Why the day counts for nothing, if it does."""

    by_class: tuple[float | None, ...] = ()
    """Share earned by kind of request."""

    by_hall: tuple[float | None, ...] = msgspec.field(
        name='by_zone', default=()
    )
    """Share earned by the callers' data hall."""

    prices: tuple[Price, ...] = ()
    """What was paid."""

    @property
    def is_standard(self) -> bool:
        """Return whether it is one of the site's own days, not drawn."""
        return ' ' not in self.name and not self.name.startswith(DRAWN)

    @property
    def is_sound(self) -> bool:
        """Return whether it broke no rule and met no fault."""
        return not self.rules and self.fault is None


class JournalEntry(msgspec.Struct, frozen=True):
    """One run of the bench."""

    run_id: str = msgspec.field(name='id')
    """Its id."""

    at: tuple[str, str] = ('', '')
    """When it began and ended; the end is empty where it was cut off."""

    command: str = msgspec.field(name='cmd', default='')
    """What was played: a day, a score, a hunt."""

    words: tuple[str, ...] = msgspec.field(name='argv', default=())
    """Words of the command; the first names the site file."""

    why: str = ''
    """What it was played for."""

    days: tuple[JournalDay, ...] = ()
    """The days that were played to their end."""

    @property
    def site(self) -> str:
        """Return the name of the site file."""
        return Path(self.words[0]).stem if self.words else ''


def read_journal(folder: Path) -> list[JournalEntry]:
    """Return the entries of a journal, the oldest first.

    One that can't be read is left out, with a log line.
    """
    entries = []
    for path in sorted(folder.glob('*.json')):
        try:
            entry = msgspec.json.decode(path.read_bytes(), type=JournalEntry)
        except msgspec.MsgspecError as error:
            log_warning('entry_unreadable', path=path.name, error=str(error))
            continue
        entries.append(entry)
    return entries
