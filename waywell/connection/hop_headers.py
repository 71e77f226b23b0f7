"""Headers of HTTP that concern one connection."""

from __future__ import annotations

HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)
"""Headers that belong to one connection and are not passed on."""
