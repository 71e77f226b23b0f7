"""Pace at which bodies in small chunks are decoded.

A chunk costs the same processor time whatever its size, so that a body in
chunks of one byte costs some thousand times that of an ordinary one.
"""

from __future__ import annotations

CHUNKS_PER_SECOND = 40_000.0
"""Small chunks of all callers that are decoded in a second.  At 4 to 5 us a
chunk they take a fifth of a core."""

BURST_CHUNKS = 100_000.0
"""Small chunks that are decoded without delay after a quiet time: a body of
100 kB in chunks of one byte."""

FREE_CHUNK_BYTES = 512
"""Mean size from which chunks cost little for their bytes, and no delay."""


class ChunkPacer:
    """Delays callers that send small chunks, all of them together."""

    def __init__(self) -> None:
        """Start without a backlog."""
        self._decoded_until = 0.0

    def record(self, chunks: int, size: int, now: float) -> float:
        """Record decoded chunks; return for how long to pause their caller.

        Parameters
        ----------
        chunks
            Number of chunks.
        size
            Bytes that they arrived in.
        now
            The current time, in seconds.

        Returns
        -------
        float
            Pause in seconds; 0 for none.
        """
        costly = chunks - size // FREE_CHUNK_BYTES
        if costly <= 1:
            return 0.0
        earliest = now - BURST_CHUNKS / CHUNKS_PER_SECOND
        begin = max(self._decoded_until, earliest)
        self._decoded_until = begin + costly / CHUNKS_PER_SECOND
        return max(0.0, self._decoded_until - now)
