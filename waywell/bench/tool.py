"""Starts the load generator as a separate process and reads its results."""

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
    """Start the load generator against ports of the loopback interface.

    Parameters
    ----------
    ports
        Ports that the workers connect to.
    path
        Path of each request.
    headers
        Headers of each request.
    options
        Further flags of ``waywell.bench.load``, such as ``workers``.
    """
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
    """Wait for a load generator to exit; return its results."""
    output, _ = process.communicate()
    return dict(json.loads(output))


def run_load(
    ports: list[int],
    path: str,
    headers: dict[str, str],
    **options: Any,
) -> dict[str, Any]:
    """Run the load generator to its end; return its results."""
    return finish_load(start_load(ports, path, headers, **options))
