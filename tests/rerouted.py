"""Runner of a module whose outgoing connections are redirected by port.

``python -m tests.rerouted FILE MODULE ARGS`` runs a module.  A connection to
a port that is a key of the JSON object in FILE goes to the port that is its
value.
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
    """Replacement of ports, read from a JSON file.

    Parameters
    ----------
    path
        JSON file, which is read again after each change.
    """

    def __init__(self, path: Path) -> None:
        """Keep the path; the file is read at the first lookup."""
        self._path = path
        self._modified_at = 0
        self._ports: dict[int, int] = {}

    def find(self, port: int) -> int:
        """Return the port to connect to in place of the given one."""
        modified_at = self._path.stat().st_mtime_ns
        if modified_at != self._modified_at:
            self._modified_at = modified_at
            loaded = json.loads(self._path.read_text(encoding='utf-8'))
            self._ports = {
                int(port): replacement for port, replacement in loaded.items()
            }
        return self._ports.get(port, port)


def write_port_map(path: Path, ports: dict[int, int]) -> None:
    """Write the file, replacing an older one atomically."""
    temporary = path.with_suffix('.new')
    temporary.write_text(json.dumps(ports), encoding='utf-8')
    temporary.replace(path)


def reroute(port_map: PortMap) -> None:
    """Redirect all connections of this process to the replaced ports."""
    for name in ('connect', 'connect_ex'):
        _reroute_call(name, getattr(socket.socket, name), port_map)


def _reroute_call(
    name: str,
    call: Callable[[socket.socket, Any], Any],
    port_map: PortMap,
) -> None:
    def call_rerouted(self: socket.socket, address: Any) -> Any:
        host, port = address
        return call(self, (host, port_map.find(port)))

    setattr(socket.socket, name, call_rerouted)


def main() -> None:
    """Redirect connections, then run the module."""
    reroute(PortMap(Path(sys.argv[1])))
    sys.argv = sys.argv[2:]
    runpy.run_module(sys.argv[0], run_name='__main__', alter_sys=True)


if __name__ == '__main__':
    main()
