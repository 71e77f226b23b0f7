"""Entry point of ``python -m waywell``."""

from __future__ import annotations

from waywell.cli import main

main()
