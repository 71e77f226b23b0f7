"""What tells a request again, whatever node it comes to and however often.

Each attempt of a caller has an id of its own, so the id does not tell that a
request was here before.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from waywell.ids import Fingerprint, Trait

if TYPE_CHECKING:
    from waywell.ids import AccountName

DIGEST_BYTES = 8
"""Bytes of a fingerprint: of a thousand million requests a day, two with the
same one come once in some tens of years."""

LENGTH_BYTES = 8
"""Bytes of the length before each part, so that no part runs into the next."""


def make_fingerprint(
    method: str,
    target: str,
    body: bytes,
    account: AccountName | str | None,
) -> Fingerprint:
    """Return the fingerprint of a request: who asks for what.

    Neither the host nor the service counts, as routes move between services
    while the request stays the same.

    Parameters
    ----------
    method
        HTTP method.
    target
        Path and query.
    body
        Body.
    account
        Client account, where the route asks for a key; a caller may change
        the key.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    head = (method, target, account or '')
    for part in (*(text.encode() for text in head), body):
        digest.update(len(part).to_bytes(LENGTH_BYTES, 'big'))
        digest.update(part)
    return Fingerprint(Trait(digest.hexdigest()))
