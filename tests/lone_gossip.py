"""Membership of a node that knows of no other."""

from __future__ import annotations

from tests.test_membership import make_record
from waywell.membership.membership import MembershipTable


class LoneGossip:
    """Knows its own node, and takes no word."""

    def __init__(self, name: str = 'a') -> None:
        self.table = MembershipTable(make_record(name), 2.0)

    def keep_streams(self, *_words: object) -> None:
        """Open no stream."""

    def post(self, _message: object) -> None:
        """Take no word."""
