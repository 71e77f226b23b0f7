"""Fingerprints that identify repeated requests on any node.

A caller sends each of its attempts with a new id, so ids can't identify a
request that is sent again.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from waywell.ids import Fingerprint, Trait

if TYPE_CHECKING:
    from waywell.ids import AccountName

DIGEST_BYTES = 8
"""Bytes of a fingerprint.  At a billion requests per day, two requests have
the same fingerprint once in some tens of years."""

LENGTH_BYTES = 8
"""Bytes of the length prefix of each hashed part, which keeps the boundaries
between parts unambiguous."""


def make_fingerprint(
    method: str,
    target: str,
    body: bytes,
    account: AccountName | str | None,
) -> Fingerprint:
    """Return the fingerprint of a request.

    The host and the service are left out: a route may move to another service
    while the request stays the same.

    Parameters
    ----------
    method
        HTTP method.
    target
        Path and query.
    body
        Request body.
    account
        Client account if the route requires a key, else ``None``.  The key
        itself is left out, as a caller may change it.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    head = (method, target, account or '')
    for part in (*(text.encode() for text in head), body):
        digest.update(len(part).to_bytes(LENGTH_BYTES, 'big'))
        digest.update(part)
    return Fingerprint(Trait(digest.hexdigest()))
