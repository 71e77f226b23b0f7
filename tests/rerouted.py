"""A daemon that reaches some ports through others.

``python -m tests.rerouted FILE MODULE WORDS`` runs a module that connects to
the ports that the JSON object in the file names by their numbers instead.
"""

from __future__ import annotations

import json
import runpy
import socket
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable


class PortMap:
    """Ports by those that are asked for, as a file shows them.

    Parameters
    ----------
    path
        The file; it may be replaced while it is used.
    """

    def __init__(self, path: Path) -> None:
        """Read nothing yet."""
        self._path = path
        self._read_at = 0
        self._ports: dict[int, int] = {}

    def find(self, port: int) -> int:
        """Return the port to connect to."""
        changed_at = self._path.stat().st_mtime_ns
        if changed_at != self._read_at:
            self._read_at = changed_at
            found = json.loads(self._path.read_text(encoding='utf-8'))
            self._ports = {int(one): other for one, other in found.items()}
        return self._ports.get(port, port)


def write_port_map(path: Path, ports: dict[int, int]) -> None:
    """Write or replace the file."""
    written = path.with_suffix('.new')
    written.write_text(json.dumps(ports), encoding='utf-8')
    written.replace(path)


def reroute(ports: PortMap) -> None:
    """Let all connections to some ports go to others."""
    for name in ('connect', 'connect_ex'):
        _reroute_call(name, getattr(socket.socket, name), ports)


def _reroute_call(
    name: str,
    call: Callable[[socket.socket, Any], Any],
    ports: PortMap,
) -> None:
    def call_rerouted(self: socket.socket, address: Any) -> Any:
        host, port = address
        return call(self, (host, ports.find(port)))

    setattr(socket.socket, name, call_rerouted)


def main() -> None:
    """Reroute, then run the module."""
    reroute(PortMap(Path(sys.argv[1])))
    sys.argv = sys.argv[2:]
    runpy.run_module(sys.argv[0], run_name='__main__', alter_sys=True)


if __name__ == '__main__':
    main()
