"""A front daemon that accepts malformed heads, as earlier releases did.

``python -m tests.unchecked_front SETTINGS`` runs it as a peer in tests.
"""

from __future__ import annotations

import sys

from waywell.connection.response_head import HeadChecker
from waywell.platform.__main__ import main


def accept_any(_checker: HeadChecker, _raw: bytes) -> None:
    """Accept all bytes of a head."""


if __name__ == '__main__':
    HeadChecker.feed = accept_any
    sys.exit(main(sys.argv[1]) or 0)
