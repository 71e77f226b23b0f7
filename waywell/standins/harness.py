"""Harness that runs daemons and stand-ins as processes.

The demo, the benchmarks and the tests use it.  Every wait polls a condition
and has a timeout that only a hang exceeds.
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

HANG_TIMEOUT = 30.0
"""Timeout of a wait in seconds, which only a hang should exceed."""

POLL_SECONDS = 0.05
"""Seconds between two checks of a condition."""

OPERATOR_KEY = 'operator-key'
"""Operator key in the configurations of the harness."""

CALLER_KEY = 'caller-key'
"""Client account key in the configurations of the harness."""

_PORT = re.compile(r'(\w*port)=(\d+)')


def hash_text(text: str) -> str:
    """Return the hexadecimal SHA-256 of a text, as configurations hold it."""
    return hashlib.sha256(text.encode()).hexdigest()


def wait_until(
    condition: Callable[[], Any],
    what: str,
    seconds: float = HANG_TIMEOUT,
) -> Any:
    """Return the first true value of a condition that is polled.

    Parameters
    ----------
    condition
        Called repeatedly until its value is true.
    what
        Description of the condition for the error.
    seconds
        Timeout.

    Raises
    ------
    TimeoutError
        When the condition has not become true within the timeout.
    """
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        found = condition()
        if found:
            return found
        time.sleep(POLL_SECONDS)
    raise TimeoutError(f'waited {seconds} s for {what}')


class Process:
    """A Python process whose output goes to a log file.

    Parameters
    ----------
    arguments
        Module and its arguments, passed to ``python -m``.
    log
        File for its standard output and error.
    """

    def __init__(self, arguments: list[str], log: Path) -> None:
        """Start the process; it may not listen yet."""
        self.log = log
        self._arguments = arguments
        self._ports: dict[str, int] = {}
        with log.open('ab') as output:
            self._process = subprocess.Popen(
                [sys.executable, '-m', *arguments],
                stderr=output,
                stdout=output,
                stdin=subprocess.DEVNULL,
            )

    @property
    def ports(self) -> dict[str, int]:
        """Return the ports by name, waiting until the process listens."""
        if not self._ports:
            found = wait_until(
                self._find_ports, f'{self._arguments} to listen'
            )
            self._ports = found
        return self._ports

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._process.poll() is None

    def is_stopped(self) -> bool:
        """Return whether the process is stopped by SIGSTOP."""
        status = Path(f'/proc/{self.pid}/stat').read_text()
        return status.rpartition(')')[2].split()[0] == 'T'

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self._process.kill()
        self._process.wait()

    def wait(self) -> int:
        """Wait for the end of the process; return its exit code."""
        return self._process.wait(timeout=HANG_TIMEOUT)

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
    """Description of a box to start."""

    name: str
    """Name of the box on the box list."""

    hall: str = 'hall-a'
    """Data hall of the box."""

    domain: str = 'domain-a'
    """Fabric domain of the box."""

    fenced: bool = True
    """Whether its target refuses requests of other epochs."""

    labels: dict[str, str] = attrs.Factory(dict)
    """Labels on the box list."""


class Bench:
    """A system of entry daemons and stand-ins on the loopback interface.

    Parameters
    ----------
    folder
        Folder for logs, settings and histories; temporary if not given.
    """

    def __init__(self, folder: Path | None = None) -> None:
        """Start the stand-in for the platform."""
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
        """Return the bench."""
        return self

    def __exit__(self, *_error: object) -> None:
        """Kill all processes."""
        self.close()

    def close(self) -> None:
        """Kill all processes and remove the temporary folder."""
        for process in self.processes:
            if process.is_running():
                process.kill()
        self._temporary.cleanup()

    def start_box(self, spec: BoxSpec) -> Process:
        """Start a target and add its box to the box list."""
        self.start_boxes([spec])
        return self.targets[spec.name]

    def start_boxes(self, specs: list[BoxSpec]) -> None:
        """Start several targets together, then add their boxes to the list."""
        for spec in specs:
            self._boots[spec.name] = self._boots.get(spec.name, 0) + 1
            self.restart_target(spec)
        for spec in specs:
            self.set_box_state(spec.name, 'live')

    def restart_target(self, spec: BoxSpec) -> Process:
        """Start a target, on its previous port if any, without listing it."""
        fenced = 'yes' if spec.fenced else 'no'
        history = self.folder / f'runs-{spec.name}.jsonl'
        previous = self.targets.get(spec.name)
        port = previous.ports['port'] if previous else 0
        arguments = [
            'waywell.standins',
            'target',
            spec.name,
            f'fenced={fenced}',
            f'history={history}',
            f'port={port}',
        ]
        number = len(self.processes)
        process = self._start(arguments, f'target-{spec.name}-{number}')
        self.targets[spec.name] = process
        self.specs[spec.name] = spec
        return process

    def list_box_at_port(self, spec: BoxSpec, port: int) -> None:
        """Add a box to the box list whose target the caller provides."""
        self.specs[spec.name] = spec
        self._put_box(spec, port, 'live', boot=1)

    def relabel(self, name: str, labels: dict[str, str]) -> None:
        """Change the labels of a box on the box list."""
        self.specs[name].labels = labels
        self.set_box_state(name, 'live')

    def set_box_state(self, name: str, state: str) -> None:
        """Set the state of a box on the box list."""
        port = self.targets[name].ports['port']
        self._put_box(self.specs[name], port, state, self._boots[name])

    def start_entry(
        self,
        name: str,
        hall: str = 'hall-a',
        timing: dict[str, float] | None = None,
        top_level: dict[str, Any] | None = None,
        limits: dict[str, float] | None = None,
        switch: str = '',
        module: list[str] | None = None,
        node: dict[str, int] | None = None,
    ) -> Process:
        """Start an entry daemon.

        Parameters
        ----------
        name
            Name of the entry box.
        hall
            Its data hall.
        timing
            Settings of the section ``timing``.
        top_level
            Settings outside of sections.
        limits
            Settings of the section ``limits``.
        switch
            Switch of ``tests.switched`` to start the daemon with.
        module
            Module and arguments that replace ``waywell``.
        node
            Further settings of the section ``node``.
        """
        top_settings: dict[str, Any] = {
            'history': f'{self.folder}/history-{name}.jsonl',
            'bootstrap_key_hashes': [hash_text(OPERATOR_KEY)],
            **(top_level or {}),
        }
        lines = [
            *(
                f'{key} = {json.dumps(setting)}'
                for key, setting in top_settings.items()
            ),
            f'[node]\nname = "{name}"\nhall = "{hall}"',
            *(f'{key} = {setting}' for key, setting in (node or {}).items()),
            f'[platform]\nurl = "{self.platform_url}"\ntimeout = 1.5',
            '[timing]',
            *(f'{key} = {setting}' for key, setting in (timing or {}).items()),
            '[limits]',
            *(f'{key} = {setting}' for key, setting in (limits or {}).items()),
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
        """Return a client for the administration port of an entry box."""
        port = self.entries[name].ports['admin_port']
        return AdminClient(f'http://127.0.0.1:{port}', OPERATOR_KEY)

    def get_caller(self, name: str, key: str = CALLER_KEY) -> CallerClient:
        """Return a client whose entry list holds one entry box."""
        port = self.entries[name].ports['caller_port']
        client = CallerClient(f'http://127.0.0.1:{port}', key)
        client.entries = [f'http://127.0.0.1:{port}']
        return client

    def read_status(self, name: str) -> dict[str, Any]:
        """Return the status that an entry box reports."""
        return dict(self.get_admin(name).call('GET', '/v1/status').read_json())

    def apply(self, name: str, configuration: dict[str, Any]) -> Answer:
        """Apply a configuration through an entry box."""
        admin = self.get_admin(name)
        return admin.call('PUT', '/v1/configuration', configuration)

    def set_platform_faults(self, **faults: Any) -> dict[str, Any]:
        """Inject faults into the platform; return its counts of calls."""
        answer = call_http(
            f'{self.platform_url}/faults',
            'POST',
            json.dumps(faults).encode(),
        )
        return dict(answer.read_json())

    def set_target_faults(self, name: str, **faults: Any) -> dict[str, Any]:
        """Inject faults into a target; return its runs by request id."""
        return dict(self._call_fault_endpoint(name, faults)['runs'])

    def read_target_counts(self, name: str) -> dict[str, Any]:
        """Return the runs, rejections and arrival times of a target."""
        return dict(self._call_fault_endpoint(name, {}))

    def count_serving(self, entry: str, group_set: str) -> int:
        """Return the number of serving groups of a set at an entry box."""
        sets = self.read_status(entry)['group_sets']
        return int(sets.get(group_set, {}).get('serving', 0))

    def wait_serving(self, entry: str, group_set: str, count: int) -> None:
        """Wait until an entry box reports a number of serving groups."""
        wait_until(
            lambda: self.count_serving(entry, group_set) == count,
            f'{count} groups of {group_set} at {entry}',
        )

    def read_history(self, pattern: str) -> list[dict[str, Any]]:
        """Return the events of all history files that match a glob pattern.

        A last line without a line end is left out, as it may be incomplete.
        """
        lines: list[dict[str, Any]] = []
        for path in sorted(self.folder.glob(pattern)):
            complete = path.read_text().rpartition('\n')[0]
            lines.extend(json.loads(line) for line in complete.splitlines())
        return lines

    def _call_fault_endpoint(self, name: str, faults: dict[str, Any]) -> Any:
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

    def _start(self, arguments: list[str], name: str) -> Process:
        process = Process(arguments, self.folder / f'{name}.log')
        self.processes.append(process)
        return process


def make_configuration(
    groups: int = 1,
    boxes_per_group: int = 2,
    **changes: Any,
) -> dict[str, Any]:
    """Return a configuration with a model service and a plain service.

    Parameters
    ----------
    groups
        Number of groups of the model service.
    boxes_per_group
        Number of boxes in each of these groups.
    changes
        Sections that replace or extend the configuration.
    """
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
