"""Runs all benchmarks in sequence: ``python -m waywell.bench``."""

from __future__ import annotations

from waywell.bench import (
    control,
    decisions,
    faults,
    feed,
    memory,
    repair,
    request,
    reserve,
    search,
    size,
)


def main() -> None:
    """Run all benchmarks."""
    memory.main()
    request.main()
    control.main()
    size.main()
    decisions.main()
    repair.main()
    reserve.main()
    faults.main()
    feed.main()
    search.main()


if __name__ == '__main__':
    main()
