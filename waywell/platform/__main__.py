"""Runs a front daemon: ``python -m waywell.platform SETTINGS``."""

from __future__ import annotations

import sys
from functools import partial

from waywell.daemon import Node, run_node
from waywell.process.events import open_output_log
from waywell.process.front_settings import (
    FrontSettings,
    load_front_settings,
)
from waywell.version.faults import FaultsError

EXIT_FAULTS = 2
"""The settings have faults."""


def main(path: str) -> str:
    """Run until told to stop; return why it could not start, or nothing."""
    settings = load_front_settings(path)
    return run_node(
        partial(_make_node, settings),
        partial(open_output_log, settings.log_level),
    )


def _make_node(settings: FrontSettings) -> Node:
    # The reactor must be installed before anything imports it.
    from waywell.platform.adapter import make_adapter  # noqa: PLC0415
    from waywell.process.front import FrontNode  # noqa: PLC0415

    return FrontNode(settings, make_adapter(settings))


if __name__ == '__main__':
    try:
        sys.exit(main(sys.argv[1]) or 0)
    except FaultsError as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(EXIT_FAULTS)
