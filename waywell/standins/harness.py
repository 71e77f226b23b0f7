"""Starts daemons and stand-ins as processes, for the demo and the tests.

Waiting is always for a condition, with a limit that only a hang meets.
"""

from __future__ import annotations

import hashlib
import json
import re
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import attrs

from waywell.client import AdminClient, Answer, CallerClient, call_http

if TYPE_CHECKING:
    import signal
    from collections.abc import Callable

HANG_SECONDS = 30.0
"""Seconds after which a wait counts as a hang."""

LOOK_SECONDS = 0.05
"""Seconds between two looks at a condition."""

OPERATOR_KEY = 'operator-key'
"""Key of the operator in harness configurations."""

CALLER_KEY = 'caller-key'
"""Key of the client account in harness configurations."""

_PORT = re.compile(r'(\w*port)=(\d+)')


def hash_text(text: str) -> str:
    """Return the SHA-256 of a text, as the configuration wants it."""
    return hashlib.sha256(text.encode()).hexdigest()


def wait_until(
    look: Callable[[], Any],
    what: str,
    seconds: float = HANG_SECONDS,
) -> Any:
    """Return the first true thing that a look finds.

    Raises
    ------
    TimeoutError
        When none was found for so long that something hangs.
    """
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        found = look()
        if found:
            return found
        time.sleep(LOOK_SECONDS)
    raise TimeoutError(f'waited {seconds} s for {what}')


class Process:
    """A process of ours, with its log in a file.

    Parameters
    ----------
    words
        Command after the interpreter.
    log
        File for its output and errors.
    """

    def __init__(self, words: list[str], log: Path) -> None:
        """Start it; its ports are waited for when they are asked for."""
        self.log = log
        self._words = words
        self._ports: dict[str, int] = {}
        with log.open('ab') as output:
            self._process = subprocess.Popen(
                [sys.executable, '-m', *words],
                stderr=output,
                stdout=output,
                stdin=subprocess.DEVNULL,
            )

    @property
    def ports(self) -> dict[str, int]:
        """Return its ports, once it listens."""
        if not self._ports:
            found = wait_until(self._find_ports, f'{self._words} to listen')
            self._ports = found
        return self._ports

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    def is_running(self) -> bool:
        """Answer whether it has not ended."""
        return self._process.poll() is None

    def is_stopped(self) -> bool:
        """Answer whether it is frozen by SIGSTOP."""
        status = Path(f'/proc/{self.pid}/stat').read_text()
        return status.rpartition(')')[2].split()[0] == 'T'

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        self._process.send_signal(number)

    def kill(self) -> None:
        """Kill it at once and wait for its end."""
        self._process.kill()
        self._process.wait()

    def wait(self) -> int:
        """Return its exit code when it has ended."""
        return self._process.wait(timeout=HANG_SECONDS)

    def _find_ports(self) -> dict[str, int]:
        if not self.is_running():
            raise RuntimeError(self.log.read_text())
        for line in self.log.read_text().splitlines():
            if 'event=listening' in line:
                pairs = _PORT.findall(line)
                return {name: int(port) for name, port in pairs}
        return {}


@attrs.define
class BoxSpec:
    """A box to stand up."""

    name: str
    """Name."""

    hall: str = 'hall-a'
    """Data hall."""

    domain: str = 'domain-a'
    """Fabric domain."""

    fenced: bool = True
    """Whether its target checks fences."""

    labels: dict[str, str] = attrs.Factory(dict)
    """Labels."""


class Bench:
    """A small system of processes on the loopback.

    Parameters
    ----------
    folder
        Where logs, settings and histories go.
    """

    def __init__(self, folder: Path | None = None) -> None:
        """Start the platform stand-in."""
        self._temporary = tempfile.TemporaryDirectory(prefix='waywell-')
        self.folder = folder or Path(self._temporary.name)
        self.processes: list[Process] = []
        self.targets: dict[str, Process] = {}
        self.specs: dict[str, BoxSpec] = {}
        self.entries: dict[str, Process] = {}
        self._boots: dict[str, int] = {}
        self.platform = self._start(
            ['waywell.standins', 'platform'], 'platform'
        )
        port = self.platform.ports['port']
        self.platform_url = f'http://127.0.0.1:{port}'

    def __enter__(self) -> Bench:
        """Return itself."""
        return self

    def __exit__(self, *_error: object) -> None:
        """End every process that was started."""
        self.close()

    def close(self) -> None:
        """End every process that was started."""
        for process in self.processes:
            if process.is_running():
                process.kill()
        self._temporary.cleanup()

    def start_box(self, spec: BoxSpec) -> Process:
        """Start a target and put its box on the box list."""
        self.start_boxes([spec])
        return self.targets[spec.name]

    def start_boxes(self, specs: list[BoxSpec]) -> None:
        """Start several targets side by side."""
        for spec in specs:
            self._boots[spec.name] = self._boots.get(spec.name, 0) + 1
            self.restart_target(spec)
        for spec in specs:
            self.set_box_state(spec.name, 'live')

    def restart_target(self, spec: BoxSpec) -> Process:
        """Start a target of which the box list learns nothing."""
        fenced = 'yes' if spec.fenced else 'no'
        history = self.folder / f'runs-{spec.name}.jsonl'
        earlier = self.targets.get(spec.name)
        port = earlier.ports['port'] if earlier else 0
        words = [
            'waywell.standins',
            'target',
            spec.name,
            f'fenced={fenced}',
            f'history={history}',
            f'port={port}',
        ]
        number = len(self.processes)
        process = self._start(words, f'target-{spec.name}-{number}')
        self.targets[spec.name] = process
        self.specs[spec.name] = spec
        return process

    def list_box_at_port(self, spec: BoxSpec, port: int) -> None:
        """Put a box on the box list whose target a test plays itself."""
        self.specs[spec.name] = spec
        self._put_box(spec, port, 'live', boot=1)

    def relabel(self, name: str, labels: dict[str, str]) -> None:
        """Set the labels of a box, as an operator would."""
        self.specs[name].labels = labels
        self.set_box_state(name, 'live')

    def set_box_state(self, name: str, state: str) -> None:
        """Set the state of a box on the platform's box list."""
        port = self.targets[name].ports['port']
        self._put_box(self.specs[name], port, state, self._boots[name])

    def start_entry(
        self,
        name: str,
        hall: str = 'hall-a',
        timing: dict[str, float] | None = None,
        top: dict[str, Any] | None = None,
        limits: dict[str, float] | None = None,
        switch: str = '',
        module: list[str] | None = None,
        node: dict[str, int] | None = None,
    ) -> Process:
        """Start an entry daemon, or one that a test has changed."""
        plain: dict[str, Any] = {
            'history': f'{self.folder}/history-{name}.jsonl',
            'bootstrap_key_hashes': [hash_text(OPERATOR_KEY)],
            **(top or {}),
        }
        lines = [
            *(f'{key} = {json.dumps(put)}' for key, put in plain.items()),
            f'[node]\nname = "{name}"\nhall = "{hall}"',
            *(f'{key} = {put}' for key, put in (node or {}).items()),
            f'[platform]\nurl = "{self.platform_url}"\ntimeout = 1.5',
            '[timing]',
            *(f'{key} = {put}' for key, put in (timing or {}).items()),
            '[limits]',
            *(f'{key} = {put}' for key, put in (limits or {}).items()),
        ]
        settings = self.folder / f'{name}.toml'
        settings.write_text('\n'.join(lines))
        if switch:
            module = ['tests.switched', switch]
        process = self._start(
            [*(module or ['waywell']), 'start', f'--settings={settings}'],
            f'entry-{name}-{len(self.processes)}',
        )
        self.entries[name] = process
        return process

    def get_admin(self, name: str) -> AdminClient:
        """Return a client of an entry's administration port."""
        port = self.entries[name].ports['admin_port']
        return AdminClient(f'http://127.0.0.1:{port}', OPERATOR_KEY)

    def get_caller(self, name: str, key: str = CALLER_KEY) -> CallerClient:
        """Return a caller that begins at an entry."""
        port = self.entries[name].ports['caller_port']
        client = CallerClient(f'http://127.0.0.1:{port}', key)
        client.entries = [f'http://127.0.0.1:{port}']
        return client

    def read_status(self, name: str) -> dict[str, Any]:
        """Return an entry's status."""
        return dict(self.get_admin(name).call('GET', '/v1/status').read_json())

    def apply(self, name: str, configuration: dict[str, Any]) -> Answer:
        """Apply a configuration at an entry."""
        admin = self.get_admin(name)
        return admin.call('PUT', '/v1/configuration', configuration)

    def set_platform_faults(self, **faults: Any) -> dict[str, Any]:
        """Set faults of the platform stand-in; return its counts."""
        answer = call_http(
            f'{self.platform_url}/faults',
            'POST',
            json.dumps(faults).encode(),
        )
        return dict(answer.read_json())

    def set_target_faults(self, name: str, **faults: Any) -> dict[str, Any]:
        """Set faults of a target; return its counts of runs."""
        return dict(self._call_faults(name, faults)['runs'])

    def read_target_counts(self, name: str) -> dict[str, Any]:
        """Return what a target counts: runs, turned away, arrivals."""
        return dict(self._call_faults(name, {}))

    def count_serving(self, entry: str, group_set: str) -> int:
        """Return how many groups of a set an entry sees serving."""
        sets = self.read_status(entry)['group_sets']
        return int(sets.get(group_set, {}).get('serving', 0))

    def wait_serving(self, entry: str, group_set: str, count: int) -> None:
        """Wait until so many groups of a set serve, as an entry sees it."""
        wait_until(
            lambda: self.count_serving(entry, group_set) == count,
            f'{count} groups of {group_set} at {entry}',
        )

    def read_history(self, pattern: str) -> list[dict[str, Any]]:
        """Return the lines of all history files of a pattern."""
        lines: list[dict[str, Any]] = []
        for path in sorted(self.folder.glob(pattern)):
            whole = path.read_text().rpartition('\n')[0]
            lines.extend(json.loads(line) for line in whole.splitlines())
        return lines

    def _call_faults(self, name: str, faults: dict[str, Any]) -> Any:
        port = self.targets[name].ports['port']
        answer = call_http(
            f'http://127.0.0.1:{port}/standin/faults',
            'POST',
            json.dumps(faults).encode(),
        )
        return answer.read_json()

    def _put_box(
        self,
        spec: BoxSpec,
        port: int,
        state: str,
        boot: int,
    ) -> None:
        body = {
            'box': spec.name,
            'hall': spec.hall,
            'domain': spec.domain,
            'host': '127.0.0.1',
            'port': port,
            'state': state,
            'labels': spec.labels,
            'boot': boot,
        }
        call_http(
            f'{self.platform_url}/objects/box/{spec.name}?expected=-1',
            'PUT',
            json.dumps(body).encode(),
        )

    def _start(self, words: list[str], name: str) -> Process:
        process = Process(words, self.folder / f'{name}.log')
        self.processes.append(process)
        return process


def make_configuration(
    groups: int = 1,
    boxes_per_group: int = 2,
    **changes: Any,
) -> dict[str, Any]:
    """Return a small configuration: one model service, one plain one."""
    configuration: dict[str, Any] = {
        'service': [
            {'name': 'llm', 'type': 'model', 'model': 'small'},
            {'name': 'app', 'type': 'plain', 'fenced': False},
        ],
        'group_set': [
            {
                'name': 'llm-main',
                'service': 'llm',
                'boxes': {'match': {'pool': ['llm']}},
                'boxes_per_group': boxes_per_group,
                'groups': groups,
            },
            {
                'name': 'app-main',
                'service': 'app',
                'boxes': {'match': {'pool': ['app']}},
                'groups': 1,
            },
        ],
        'serving': [{'name': 'all'}],
        'account': [
            {
                'name': 'desk',
                'key_hashes': [hash_text(CALLER_KEY)],
                'labels': {'tier': 'gold'},
            },
        ],
        'operator': [
            {'name': 'ops', 'key_hashes': [hash_text(OPERATOR_KEY)]},
        ],
        'goal': {'pause_seconds': 0.5, 'load_seconds': 2.0},
    }
    return {**configuration, **changes}
