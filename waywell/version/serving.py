"""Index of services, accounts and groups of one configuration and roster."""

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
"""Largest number of cached group lists in an index."""


class RequestShape(msgspec.Struct, frozen=True):
    """Properties of a request that decide which groups may serve it."""

    service: str
    """Name of the requested service."""

    account: str
    """Name of the client account."""

    kind: str
    """Kind of the request."""

    session_labels: tuple[tuple[str, str], ...] = ()
    """Labels of the session, sorted."""


def hash_key(key: str) -> str:
    """Return the SHA-256 hash by which the configuration stores a key."""
    return hashlib.sha256(key.encode()).hexdigest()


class ServingIndex:
    """Finds the groups that may serve a request.

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
            key_hash: account
            for account in configuration.account
            for key_hash in account.key_hashes
        }
        self._by_name = {
            account.name: account for account in configuration.account
        }
        self._cache: dict[RequestShape, tuple[Group, ...]] = {}

    def find_service(self, name: str) -> Service | None:
        """Return a service by its name, if there is one."""
        return self._services.get(name)

    def find_account(self, key: str) -> Account | None:
        """Return the client account that a key belongs to, if any."""
        return self._accounts.get(hash_key(key))

    def list_groups(self, shape: RequestShape) -> tuple[Group, ...]:
        """Return the groups that may serve requests with a shape, cached.

        Groups in all states are returned, because callers that no rule admits
        get another error than those whose groups are out of service.
        """
        found = self._cache.get(shape)
        if found is None:
            found = tuple(self._match_groups(shape))
            if len(self._cache) >= CACHE_LIMIT:
                self._cache.clear()
            self._cache[shape] = found
        return found

    def list_rules(self, shape: RequestShape) -> list[Serving]:
        """Return the serving rules that admit requests with a shape."""
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
    """Return the rules and groups that decide where requests go.

    Parameters
    ----------
    index
        Index of the configuration and roster in force.
    shape
        Properties of the requests.
    down
        Reason why a group is down, by group name.
    """
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
