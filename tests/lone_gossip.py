"""Membership of a node that knows no other node."""

from __future__ import annotations

from tests.test_membership import make_record
from waywell.membership.membership import MembershipTable


class LoneGossip:
    """Stand-in for ``Gossip`` that knows only its own node."""

    def __init__(self, name: str = 'a') -> None:
        self.table = MembershipTable(make_record(name), 2.0)

    def keep_streams(self, *_args: object) -> None:
        """Ignore the request."""

    def post(self, _message: object) -> None:
        """Ignore the message."""
