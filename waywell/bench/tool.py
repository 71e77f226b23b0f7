"""The load tool as a process of its own, started and waited for."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import Any


def start_load(
    ports: list[int],
    path: str,
    headers: dict[str, str],
    **options: Any,
) -> subprocess.Popen[bytes]:
    """Start the load tool against some ports of the loopback."""
    hosts = '+'.join(f'127.0.0.1:{port}' for port in ports)
    words = [
        sys.executable,
        '-m',
        'waywell.bench.load',
        f'--hosts={hosts}',
        f'--path={path}',
        f'--headers={json.dumps(headers)}',
        *(f'--{key}={put}' for key, put in options.items()),
    ]
    return subprocess.Popen(words, stdout=subprocess.PIPE)


def finish_load(load: subprocess.Popen[bytes]) -> dict[str, Any]:
    """Return the figures of a load that was started."""
    told, _ = load.communicate()
    return dict(json.loads(told))


def run_load(
    ports: list[int],
    path: str,
    headers: dict[str, str],
    **options: Any,
) -> dict[str, Any]:
    """Run the load tool; return its figures."""
    return finish_load(start_load(ports, path, headers, **options))
