"""Validation of configurations and their conversion to documents."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from waywell.version.input_validation import (
    InvalidInputError,
    structure_input,
    unstructure_value,
)
from waywell.version.objects import Configuration, GroupSet

if TYPE_CHECKING:
    from waywell.version.document import Document, Entry

LISTED_KINDS = ('service', 'group_set', 'serving', 'account', 'operator')
"""Kinds of objects that a configuration lists by name."""

HASH_DIGITS = 64
"""Number of hexadecimal digits of a SHA-256 hash."""


def check_configuration(raw: Any, place: str) -> Configuration:
    """Return a valid configuration made from plain values.

    Raises
    ------
    InvalidInputError
        With every fault found.
    """
    configuration = structure_input(raw, Configuration, place)
    faults = [
        *_find_repeated_names(configuration),
        *_find_bad_group_sets(configuration),
        *_find_bad_hashes(configuration),
    ]
    if faults:
        raise InvalidInputError(f'{place}.{fault}' for fault in faults)
    return configuration


def _find_repeated_names(configuration: Configuration) -> list[str]:
    faults: list[str] = []
    for kind in LISTED_KINDS:
        counts = Counter(
            listed.name for listed in getattr(configuration, kind)
        )
        repeated = {name for name, count in counts.items() if count > 1}
        faults.extend(
            f'{kind}: duplicate name {name!r}' for name in sorted(repeated)
        )
    return faults


def _find_bad_group_sets(configuration: Configuration) -> list[str]:
    known = sorted(service.name for service in configuration.service)
    faults = []
    for group_set in configuration.group_set:
        place = f'group_set.{group_set.name}'
        if group_set.service not in known:
            faults.append(
                f'{place}.service: must be one of the services {known}'
            )
        faults.extend(_find_bad_counts(group_set, place))
    return faults


def _find_bad_counts(group_set: GroupSet, place: str) -> list[str]:
    faults = []
    if group_set.boxes_per_group < 1:
        faults.append(f'{place}.boxes_per_group: must be at least 1')
    if group_set.groups < 0:
        faults.append(f'{place}.groups: must be at least 0')
    return faults


def _find_bad_hashes(configuration: Configuration) -> list[str]:
    faults: list[str] = []
    for kind in ('account', 'operator'):
        for holder in getattr(configuration, kind):
            faults.extend(
                f'{kind}.{holder.name}.key_hashes: must be 64 hex digits'
                for digits in holder.key_hashes
                if not _is_hash(digits)
            )
    return faults


def _is_hash(digits: str) -> bool:
    return len(digits) == HASH_DIGITS and not set(digits) - set(
        '0123456789abcdef',
    )


def make_configuration_entries(
    configuration: Configuration,
) -> dict[str, Entry]:
    """Return the configuration as the entries of a document."""
    plain = unstructure_value(configuration)
    entries: dict[str, Entry] = {'goal/goal': plain['goal']}
    for kind in LISTED_KINDS:
        for listed in plain[kind]:
            entries[f'{kind}/{listed["name"]}'] = listed
    return entries


def parse_configuration(document: Document) -> Configuration:
    """Return the configuration that a document contains.

    Raises
    ------
    InvalidInputError
        If the entries are not a valid configuration.
    """
    raw: dict[str, Any] = {}
    for key in sorted(document.entries):
        kind, _, _name = key.partition('/')
        entry = document.entries[key]
        if kind == 'goal':
            raw['goal'] = entry
        else:
            raw.setdefault(kind, []).append(entry)
    return check_configuration(raw, 'configuration')
