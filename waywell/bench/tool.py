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
    command = [
        sys.executable,
        '-m',
        'waywell.bench.load',
        f'--hosts={hosts}',
        f'--path={path}',
        f'--headers={json.dumps(headers)}',
        *(f'--{key}={option_value}' for key, option_value in options.items()),
    ]
    return subprocess.Popen(command, stdout=subprocess.PIPE)


def finish_load(process: subprocess.Popen[bytes]) -> dict[str, Any]:
    """Return the figures of a load that was started."""
    output, _ = process.communicate()
    return dict(json.loads(output))


def run_load(
    ports: list[int],
    path: str,
    headers: dict[str, str],
    **options: Any,
) -> dict[str, Any]:
    """Run the load tool; return its figures."""
    return finish_load(start_load(ports, path, headers, **options))
