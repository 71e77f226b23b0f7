"""Entries of a journal, with the fields that reports use."""

from __future__ import annotations

from pathlib import Path

import msgspec

from waywell.telemetry.events import log_warning

RANDOM_DAY_PREFIXES = ('fresh', 'hunt', 'mix')
"""Prefixes of the names of days that were generated at random."""

Price = tuple[str, float, float | None]
"""Name of the price, amount, and worth paid for it.

The worth is ``None`` if nothing was owed.
"""


class JournalDay(msgspec.Struct, frozen=True):
    """Results of one day."""

    name: str
    """Name of the day, with the seed if it was generated at random."""

    worth: float = msgspec.field(name='G', default=0.0)
    """Worth after prices, as a share of the worth owed."""

    served: float = 0.0
    """Worth earned before prices, as a share of the worth owed."""

    rules: dict[str, int] = {}
    """Number of violations by broken rule."""

    fault: str | None = None
    """Why the day does not count, or ``None`` if it does."""

    by_class: tuple[float | None, ...] = ()
    """Earned share by kind of request; ``None`` where nothing was owed."""

    by_hall: tuple[float | None, ...] = msgspec.field(
        name='by_zone', default=()
    )
    """Earned share by the callers' data hall; ``None`` as above."""

    prices: tuple[Price, ...] = ()
    """Prices paid on the day."""

    @property
    def is_standard(self) -> bool:
        """Return whether this is a day of the site, not a random one."""
        return ' ' not in self.name and not self.name.startswith(
            RANDOM_DAY_PREFIXES
        )

    @property
    def is_faultless(self) -> bool:
        """Return whether the day has neither a broken rule nor a fault."""
        return not self.rules and self.fault is None


class JournalEntry(msgspec.Struct, frozen=True):
    """One run of the benchmark."""

    run_id: str = msgspec.field(name='id')
    """Id of the run, shown in reports."""

    at: tuple[str, str] = ('', '')
    """Start and end in ISO 8601; the end is empty if it was interrupted."""

    command: str = msgspec.field(name='cmd', default='')
    """Command of the benchmark, such as ``run``, ``score`` or ``hunt``."""

    arguments: tuple[str, ...] = msgspec.field(name='argv', default=())
    """Arguments of the command; the first is the path of the site file."""

    why: str = ''
    """Reason given for the run."""

    days: tuple[JournalDay, ...] = ()
    """Days that ran to their end."""

    @property
    def site(self) -> str:
        """Return the name of the site file without its suffix."""
        return Path(self.arguments[0]).stem if self.arguments else ''


def read_journal(folder: Path) -> list[JournalEntry]:
    """Return the entries of a journal, oldest first.

    Unreadable entries are logged and left out.
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
