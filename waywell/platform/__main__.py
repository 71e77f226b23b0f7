"""Run a front daemon: ``python -m waywell.platform SETTINGS``."""

from __future__ import annotations

import gc
import sys
from functools import partial
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from waywell.daemon import Node
    from waywell.process.front_settings import FrontSettings

EXIT_INVALID_SETTINGS = 2
"""Exit code for invalid settings."""


def main(path: str) -> str:
    """Run until stopped; return why the node could not start, or nothing.

    Garbage collection is disabled until all modules are loaded, and the loaded
    modules are excluded from it: collections took 28% of the processor time of
    loading (0.38 s with them, 0.27 s without).
    """
    gc.disable()
    from waywell.daemon import run_node  # noqa: PLC0415
    from waywell.process.front_settings import (  # noqa: PLC0415
        load_front_settings,
    )
    from waywell.telemetry.events import open_output_log  # noqa: PLC0415
    from waywell.version.input_validation import InvalidInputError  # noqa: PLC0415

    try:
        settings = load_front_settings(path)
    except InvalidInputError as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(EXIT_INVALID_SETTINGS)
    return run_node(
        partial(_make_node, settings),
        partial(open_output_log, settings.log_level),
    )


def _make_node(settings: FrontSettings) -> Node:
    # These modules import the reactor, which must be installed before.
    from waywell.platform.adapter import make_adapter  # noqa: PLC0415
    from waywell.process.front import FrontNode  # noqa: PLC0415

    node = FrontNode(settings, make_adapter(settings))
    gc.freeze()
    gc.enable()
    return node


if __name__ == '__main__':
    sys.exit(main(sys.argv[1]) or 0)
