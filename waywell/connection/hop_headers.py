"""Hop-by-hop headers of HTTP."""

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
"""Headers that apply to a single connection and are not forwarded.  The body
length is among them, since each connection frames the body anew."""
