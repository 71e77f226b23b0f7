"""An entry daemon that reaches some ports through others.

``python -m tests.rerouted FILE start --settings=FILE`` connects to the ports
that the JSON object in the first file names by their numbers instead.
"""

from __future__ import annotations

import json
import socket
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

from waywell.cli import run_command

if TYPE_CHECKING:
    from collections.abc import Callable


def reroute(ports: dict[int, int]) -> None:
    """Let all connections to some ports go to others."""
    for name in ('connect', 'connect_ex'):
        _reroute_call(name, getattr(socket.socket, name), ports)


def _reroute_call(
    name: str,
    call: Callable[[socket.socket, Any], Any],
    ports: dict[int, int],
) -> None:
    def call_rerouted(self: socket.socket, address: Any) -> Any:
        host, port = address
        return call(self, (host, ports.get(port, port)))

    setattr(socket.socket, name, call_rerouted)


def main() -> int:
    """Reroute, then run the command."""
    found = json.loads(Path(sys.argv[1]).read_text(encoding='utf-8'))
    reroute({int(port): other for port, other in found.items()})
    return run_command(sys.argv[2:])


if __name__ == '__main__':
    sys.exit(main())
