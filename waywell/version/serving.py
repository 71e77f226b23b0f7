"""The index that requests are served from, for one pair of versions."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgspec

from waywell.version.roster import Group, GroupState, Roster

if TYPE_CHECKING:
    from collections.abc import Mapping

    from waywell.version.objects import (
        Account,
        Configuration,
        Service,
        Serving,
    )

CACHE_LIMIT = 4096
"""Answers about requests of one shape that an index keeps."""


class RequestShape(msgspec.Struct, frozen=True):
    """What the choice of groups depends on."""

    service: str
    """Service asked for."""

    account: str
    """Client account."""

    kind: str
    """Request kind."""

    session_labels: tuple[tuple[str, str], ...] = ()
    """Labels of the session, in order."""


def hash_key(key: str) -> str:
    """Return the form in which the configuration holds a key."""
    return hashlib.sha256(key.encode()).hexdigest()


class ServingIndex:
    """Answers which groups may serve a request.

    Parameters
    ----------
    configuration
        Configuration in force.
    roster
        Roster in force.
    """

    def __init__(self, configuration: Configuration, roster: Roster) -> None:
        """Index accounts by key and groups by service."""
        self.configuration = configuration
        self.roster = roster
        self._services = {
            service.name: service for service in configuration.service
        }
        self._accounts = {
            digits: account
            for account in configuration.account
            for digits in account.key_hashes
        }
        self._by_name = {
            account.name: account for account in configuration.account
        }
        self._cache: dict[RequestShape, tuple[Group, ...]] = {}

    def find_service(self, name: str) -> Service | None:
        """Return a service by its name."""
        return self._services.get(name)

    def find_account(self, key: str) -> Account | None:
        """Return the account that a key belongs to."""
        return self._accounts.get(hash_key(key))

    def list_groups(self, shape: RequestShape) -> tuple[Group, ...]:
        """Return the groups that may serve requests of a shape.

        Groups in every state are returned: a caller whom no rule admits
        is told something else than one whose groups are out of service.
        """
        found = self._cache.get(shape)
        if found is None:
            found = tuple(self._match_groups(shape))
            if len(self._cache) >= CACHE_LIMIT:
                self._cache.clear()
            self._cache[shape] = found
        return found

    def list_rules(self, shape: RequestShape) -> list[Serving]:
        """Return the serving rules that admit requests of a shape."""
        account = self._by_name.get(shape.account)
        if account is None:
            return []
        labels = {**account.labels, 'account': account.name}
        session = dict(shape.session_labels)
        return [
            rule
            for rule in self.configuration.serving
            if rule.accounts.admits(labels)
            and rule.sessions.admits(session)
            and rule.kinds.admits({'kind': shape.kind})
        ]

    def _match_groups(self, shape: RequestShape) -> list[Group]:
        rules = self.list_rules(shape)
        return [
            group
            for group in self.roster
            if group.service == shape.service
            and any(rule.groups.admits(group.selectable) for rule in rules)
        ]


def explain_choice(
    index: ServingIndex,
    shape: RequestShape,
    down: Mapping[str, str],
) -> dict[str, object]:
    """Return why requests of a shape go to which group, or to none."""
    groups = index.list_groups(shape)
    return {
        'service': shape.service,
        'account': shape.account,
        'kind': shape.kind,
        'rules': [rule.name for rule in index.list_rules(shape)],  # noqa: SLF001
        'groups': [
            {
                'group': group.group,
                'state': group.state.value,
                'missing': list(group.missing),
                'down': down.get(group.group, ''),
                'serves': group.state is GroupState.SERVING
                and group.group not in down,
            }
            for group in groups
        ],
    }
