"""Starts the program of the deploy file with the settings of a deployment.

The settings are the template of the deploy file, filled from the fields that
the platform's pages show for a machine.
"""

from __future__ import annotations

import http.client
import json
import os
import random
import re
import socket
import subprocess
import time
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import signal

ROOT = Path(__file__).resolve().parents[2]
"""Root of the repository, the working folder of the program."""

ROLE = tomllib.loads((ROOT / 'deploy/system.toml').read_text())['roles'][
    'front'
]
"""The role of the deploy file."""

START_SECONDS = 20.0
"""Longest wait until a machine is ready."""

BOUNDS: dict[str, Any] = {
    'seed_lag_s': 3,
    'addr_reuse_s': 2,
    'contact_ms': 3000,
    'ack_ms': 4000,
    'catch_up_s': 4,
    'drain_timeout_ms': 2000,
    'grace_period_s': 8,
    'loss_slack_ms': 200,
    'config_apply_ms': 2000,
    'rollback_slack_ms': 250,
    'max_stretch_ms': 5000,
    'revoke_strict': True,
    'revoke_ms': 5000,
    'retry_budget_ratio': 0.2,
    'retry_window_s': 10,
    'budget_slack': 109,
    'recovery_s': 12,
    'pass_ms': 120,
    'retry_after_s': 0,
    'stall_ms': 6000,
    'require_fence': False,
    'ceiling_window_s': 5,
    'ceiling_overrun': 1.1,
    'ttl_max_s': 5,
}
"""Bounds of the deployment, from its sheet."""

LIMITS: dict[str, Any] = {
    'cpu_share': 0.537,
    'cpu_cores': 2,
    'memory_mb': 300,
    'max_fds': 4100,
    'link_mbps': 1000.0,
    'disk_mb': 0,
}
"""Limits of a machine, from the sheet."""

_SECTION = re.compile(r'\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}', re.DOTALL)
_GAP = re.compile(r'\{\{([\w.]+)\}\}')


def reserve_ports(count: int) -> list[int]:
    """Return distinct free ports.

    They lie below those that the system gives to outgoing connections, which
    could take one before the program listens there.
    """
    ports: set[int] = set()
    while len(ports) < count:
        port = random.randrange(15_000, 31_000)
        try:
            socket.create_server(('127.0.0.1', port)).close()
        except OSError:
            continue
        ports.add(port)
    return list(ports)


def fill_template(text: str, fields: dict[str, Any]) -> str:
    """Return a template with its gaps filled, as the platform fills it."""

    def find(path: str) -> Any:
        found: Any = fields
        for word in path.split('.'):
            found = found.get(word) if isinstance(found, dict) else None
        return found

    def fill_section(match: re.Match[str]) -> str:
        mark, path, inner = match.groups()
        found = find(path)
        if mark == '^':
            return '' if found else inner
        if isinstance(found, list):
            last = len(found) - 1
            return ''.join(
                inner.replace('{{.}}', str(entry)).replace(
                    '{{,}}', '' if number == last else ','
                )
                for number, entry in enumerate(found)
            )
        return inner if found else ''

    def fill_gap(match: re.Match[str]) -> str:
        found = find(match.group(1))
        if isinstance(found, bool):
            return str(found).lower()
        return '' if found is None else str(found)

    return _GAP.sub(fill_gap, _SECTION.sub(fill_section, text))


class Front:
    """One machine that runs the program of the deploy file.

    Parameters
    ----------
    folder
        Temporary folder for its settings and its log.
    name
        Name of the machine.
    zone
        Zone of the machine.
    store
        Address of the store as this machine reaches it.
    ports
        Ports for clients, readiness, peers and directory.
    bounds
        Bounds that differ from those of ``BOUNDS``.
    """

    def __init__(
        self,
        folder: Path,
        name: str,
        zone: str,
        store: str,
        ports: list[int],
        bounds: dict[str, Any] | None = None,
    ) -> None:
        """Keep what the settings need; nothing is started."""
        self._bounds = {**BOUNDS, **(bounds or {})}
        self.name = name
        self.zone = zone
        self.clients, self.readiness, self.control, self.directory = ports
        self._folder = folder
        self.store = store
        self._process: subprocess.Popen[bytes] | None = None
        self._starts = 0

    @property
    def log(self) -> Path:
        """Return the file that holds the output of the program."""
        return self._folder / f'{self.name}.log'

    @property
    def pid(self) -> int:
        """Return the process id."""
        assert self._process is not None
        return self._process.pid

    def start(self, seeds: list[str]) -> None:
        """Write the settings and start the program."""
        settings = self._folder / f'{self.name}.conf'
        settings.write_text(self._make_settings(seeds))
        words = [
            str(settings) if word.startswith('/etc/waywell/') else word
            for word in ROLE['run'].split()
        ]
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['WAYWELL_BOOT'] = str(settings)
        self._starts += 1
        with self.log.open('ab') as output:
            self._process = subprocess.Popen(
                words,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def wait_ready(self) -> None:
        """Wait until the machine says that it is ready."""
        ends_at = time.monotonic() + START_SECONDS
        while time.monotonic() < ends_at:
            if self.is_ready():
                return
            time.sleep(0.05)
        raise TimeoutError(f'{self.name} is not ready')

    def is_ready(self) -> bool:
        """Return the answer of the readiness question."""
        connection = http.client.HTTPConnection(
            '127.0.0.1', self.readiness, timeout=1
        )
        try:
            connection.request('GET', '/api/ready')
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def resolve(self) -> list[str]:
        """Return the addresses that the directory names."""
        connection = http.client.HTTPConnection(
            '127.0.0.1', self.directory, timeout=1
        )
        try:
            connection.request(
                'GET',
                '/api/resolve?name=shop.example&region=port-louis'
                f'&zone={self.zone}',
            )
            found = json.loads(connection.getresponse().read() or b'{}')
            return list(found.get('addresses', ()))
        except (OSError, ValueError):
            return []
        finally:
            connection.close()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the program."""
        assert self._process is not None
        if self._process.poll() is None:
            self._process.send_signal(number)

    def has_ended(self) -> bool:
        """Return whether the program has ended."""
        return self._process is None or self._process.poll() is not None

    def kill(self) -> None:
        """Kill the program if it runs, and wait for its end."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
        if self._process is not None:
            self._process.wait()

    def _make_settings(self, seeds: list[str]) -> str:
        template = (ROOT / ROLE['template']).read_text()
        text = fill_template(
            template,
            {
                'node_name': self.name,
                'zone': self.zone,
                'region': 'port-louis',
                'ip': '127.0.0.1',
                'seeds': seeds,
                'bootstrap': self._starts == 0,
                'listen_addrs': {
                    'front': f'127.0.0.1:{self.clients}',
                    'readiness': f'127.0.0.1:{self.readiness}',
                    'control': f'127.0.0.1:{self.control}',
                    'directory': f'127.0.0.1:{self.directory}',
                },
                'limits': LIMITS,
                'bounds': self._bounds,
                'platform': {'address': self.store},
            },
        )
        # All machines share one address here, so that a fixed port is taken.
        return re.sub(r'(?m)^metrics_port = \d+$', 'metrics_port = 0', text)


def start_fronts(fronts: list[Front]) -> None:
    """Start machines together and wait until clients may use all of them."""
    seeds = [f'127.0.0.1:{front.control}' for front in fronts[:3]]
    for front in fronts:
        front.start(seeds)
    for front in fronts:
        front.wait_ready()
    ends_at = time.monotonic() + START_SECONDS
    while time.monotonic() < ends_at:
        if all(len(front.resolve()) == len(fronts) for front in fronts):
            return
        time.sleep(0.1)
    raise TimeoutError('the machines do not know one another')
