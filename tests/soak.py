"""Randomized soak test: checks promises of real front daemons under faults.

Run by hand: ``python -m tests.soak --seeds=50 --first=1 --seconds=20``.
"""

from __future__ import annotations

import contextlib
import http.client
import random
import shutil
import signal
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path
from typing import Any

import attrs
import fire

from tests.broken_bodies import BodyScript, Ending, Framing
from tests.fake_platform import KEY, Server, StoreSnapshot, make_manifest
from tests.front_harness import WHOLE_STREAM, FrontHarness
from tests.limits import KNOWN_SECONDS, count_allowed, count_most
from tests.relay import Direction, Relay
from tests.replica_paths import Cut, ReplicaRelays
from tests.rerouted import write_port_map
from waywell.standins.harness import Process, wait_until

FRONTS = 3
"""Number of front daemons."""

CALLERS = 4
"""Number of threads that send requests."""

KEY_REMOVAL_SECONDS = 5.0
"""Seconds after which every front must refuse a removed key."""

FAULT_INTERVAL = (0.1, 0.8)
"""Bounds of the seconds between the starts of two faults, which overlap."""

FAULT_DURATION = (0.2, 2.5)
"""Bounds of the seconds until a fault ends."""

VERSIONS_WITH_KEY = 4
"""Number of versions of the routes that keep the key.  It is removed only
after these changes, so that callers use it before."""

RETRY_PAUSE_SECONDS = 0.02
"""Seconds that a caller waits after a failed request."""

REST_TEXTS = ('0.8', '1.5', '3')
"""Values of the rest that servers request, in seconds."""

REST_GRACE_SECONDS = 0.5
"""Seconds after a request for rest in which requests may still be in
transit."""

MAX_DURING_REST = 2
"""Number of requests that one node may still send during a rest."""

LEAVING_GRACE_SECONDS = 2.0
"""Seconds after a node reported a leaving server in which it may still send
requests to it."""

LEAVING_DURATION = (2.5, 4.0)
"""Bounds of the seconds from a server's announcement that it leaves to its
end."""

ANNOUNCEMENT_SHARE = 0.25
"""Fraction of the steps in which a server requests rest or announces that it
leaves."""

LIMIT_TEXTS = ('0', '0.5', '2')
"""Values of the limit that servers report, in requests a second."""

LIMIT_SHARE = 0.5
"""Fraction of the steps without any limit in which a server reports one."""

LIMIT_DURATION = (6.0, 9.0)
"""Bounds of the seconds for which a server has a limit."""

LIMIT_GRACE_SECONDS = 0.5
"""Seconds after a node reported a limit from which its requests count."""

DELAY_SECONDS = (0.05, 0.6)
"""Bounds of the delay that a relay or the store adds, in seconds."""

RETURN_SHARE = 0.15
"""Fraction of the steps in which the store returns from an older copy, in runs
with such returns."""

CUT_SHARE = 0.15
"""Fraction of the steps in which one node loses its links to all servers, in
runs with such cuts."""

TRUNCATED_SHARE = 0.25
"""Fraction of the steps in which a server truncates an answer, in runs with
truncated answers."""

PROMPT_SHARE = 0.05
"""Fraction of the requests with a prompt part that crashes servers, in runs
with such requests."""

CRASHING_PART = 'bad0'
"""Prompt part that crashes servers."""

CONTACT_SECONDS = 3.0
"""Seconds without a fault after which a node must know of the crashes that
other nodes have seen."""

CRASHES_BEFORE_BOUND = 5
"""Number of crashes caused by one prompt part before the limit on later
crashes applies."""

MAX_LATER_CRASHES = 3
"""Number of crashes by the same prompt part that may follow the fifth one."""

MAX_COPIES = 6
"""Number of recent copies that the store may return from."""

REWRITE_DELAY = (0.1, 2.0)
"""Bounds of the seconds after the store's return until the operator and the
servers write their objects again."""

LAPSE_SECONDS = 4.0
"""Seconds after the store's return until entries that no server renews
lapse."""

REFUSAL_STATUSES = (429, 503)
"""HTTP statuses with which the store refuses calls."""

PATHS = {
    '/notes/1': ('small', WHOLE_STREAM),
    '/match/1': ('', b'the whole answer'),
    '/stock/1': ('', b'the whole answer'),
}
"""Model and complete answer by path."""


TRUNCATIONS = (
    *((framing, Ending.RESET) for framing in Framing),
    (Framing.LENGTH, Ending.CLOSE),
    (Framing.CHUNKED, Ending.CLOSE),
)
"""Framing and ending of truncated answers, which no complete answer has."""


@attrs.define
class _LimitPeriod:
    """Period of a server's limit, and the nodes that reported it."""

    server: Server
    limit: float
    ends_at: float
    first_reported_at: float = float('inf')
    reported_at: dict[Process, float] = attrs.Factory(dict)
    reporting_spans: list[tuple[Process, float, float]] = attrs.Factory(list)

    def record_report(self, process: Process, now: float) -> None:
        """Record that a process reported the limit to a caller."""
        self.first_reported_at = min(self.first_reported_at, now)
        self.reported_at.setdefault(process, now)

    def end_span(self, process: Process, now: float) -> None:
        """Ignore a process until it reports the limit again."""
        if process in self.reported_at:
            self.reporting_spans.append(
                (process, self.reported_at.pop(process), now)
            )

    def is_bound(self, process: Process | None, at: float) -> bool:
        """Return whether an arrival counts against the limit."""
        if not self.first_reported_at + KNOWN_SECONDS <= at <= self.ends_at:
            return False
        return any(
            reporter is process and since + LIMIT_GRACE_SECONDS <= at <= until
            for reporter, since, until in self.reporting_spans
        )


class Soak:
    """One run with one seed.

    Parameters
    ----------
    seed
        Seed of the faults.  Callers draw their requests without it, because
        thread scheduling prevents an exact repetition of a run anyway.
    folder
        Folder for settings and logs.
    return_share
        Fraction of the steps in which the store returns from an older copy.
    cut_share
        Fraction of the steps in which one node loses its links to all
        servers.
    truncated_share
        Fraction of the steps in which a server truncates an answer.
    prompt_share
        Fraction of the requests with a prompt part that crashes servers.
    """

    def __init__(
        self,
        seed: int,
        folder: Path,
        return_share: float = 0.0,
        cut_share: float = 0.0,
        truncated_share: float = 0.0,
        prompt_share: float = 0.0,
    ) -> None:
        """Start the store, the servers, the relays and the fronts."""
        self._prompt_share = prompt_share
        self._faults_at: dict[Process, list[float]] = {}
        self._started_at: dict[Process, float] = {}
        self.random = random.Random(seed)
        self._return_random = random.Random(seed + 3)
        self._return_share = return_share
        self._cut_share = cut_share
        self._truncated_share = truncated_share
        self._copies: list[StoreSnapshot] = []
        self._manifest = make_manifest()
        # Separate generators, so that seeds that failed before still draw the
        # same faults.
        self._announcement_random = random.Random(seed + 1)
        self._limit_random = random.Random(seed + 2)
        self._cut_random = random.Random(seed + 4)
        self._truncation_random = random.Random(seed + 5)
        self._limit_periods: list[_LimitPeriod] = []
        self._leaving_until: dict[str, float] = {}
        self._leaving_reported_at: dict[tuple[Process, str], float] = {}
        self._front_by_attempt: dict[str, Process] = {}
        self._disturbed_ports: set[int] = set()
        self.front = FrontHarness(folder)
        self.front.add_servers()
        self._server_relays = [
            self._add_relay(server) for server in self.front.servers.values()
        ]
        self._replica_links = ReplicaRelays(
            relay.port for relay in self._server_relays if cut_share
        )
        if truncated_share:
            self._replica_links.pass_resets()
        self._ports_file = folder / 'ports.json'
        write_port_map(self._ports_file, self._replica_links.ports)
        self._links_restored_at = 0.0
        names = [f'front-{number}' for number in range(1, FRONTS + 1)]
        self._cuttable_front = (
            self._cut_random.choice(names) if cut_share else ''
        )
        port = int(self.front.store.address.rpartition(':')[2])
        self._store_relays = {name: Relay(port) for name in names}
        self.fronts = {name: self._start(name) for name in names}
        self.violations: list[str] = []
        self.outcomes: Counter[str] = Counter()
        self._requests: dict[str, tuple[str, float]] = {}
        self._not_run: set[str] = set()
        self._removed_at = float('inf')
        self._version = 1
        self._servers_started = 0
        self._attempt_count = 0
        self._lock = threading.Lock()
        self._is_finished = threading.Event()

    def run(self, seconds: float) -> list[str]:
        """Run callers and faults; return the broken promises."""
        try:
            for process in self.fronts.values():
                self.front.wait_serving(process)
            callers = [
                threading.Thread(target=self._run_caller)
                for _ in range(CALLERS)
            ]
            for caller in callers:
                caller.start()
            self._inject_faults(time.monotonic() + seconds)
            self._restore()
            self._is_finished.set()
            for caller in callers:
                caller.join()
            self._check_promises()
            return self.violations + self.front.store.violations
        finally:
            self._is_finished.set()
            for relay in (*self._list_relays(), self._replica_links):
                relay.close()
            self.front.close()

    def _inject_faults(self, ends_at: float) -> None:
        faults = [
            self._kill,
            self._pause,
            self._stop,
            self._reload,
            self._stop_store,
            self._disturb_store,
            self._disturb_store_relay,
            self._disturb_server_relay,
            self._crash_server,
            self._script_answers,
            self._change_routes,
            self._remove_key,
        ]
        restoring: list[threading.Timer] = []
        while time.monotonic() < ends_at:
            self._announce_rest_or_leaving()
            self._set_limit()
            restoring.extend(self._roll_back_store())
            restoring.extend(self._cut_links())
            self._truncate_answer()
            self._replace_ended_servers()
            restore = self.random.choice(faults)()
            if restore is not None:
                timer = threading.Timer(
                    self.random.uniform(*FAULT_DURATION), restore
                )
                timer.start()
                restoring.append(timer)
            time.sleep(self.random.uniform(*FAULT_INTERVAL))
        for timer in restoring:
            timer.join()

    def _cut_links(self) -> list[threading.Timer]:
        """Cut one node's links to all servers; return the restoring timer."""
        now = time.monotonic()
        if (
            now < self._links_restored_at
            or self._cut_random.random() >= self._cut_share
        ):
            return []
        self._replica_links.cut(self._cut_random.choice(list(Cut)))
        seconds = self._cut_random.uniform(*FAULT_DURATION)
        self._links_restored_at = now + seconds
        timer = threading.Timer(seconds, self._replica_links.restore)
        timer.start()
        return [timer]

    def _truncate_answer(self) -> None:
        """Make a server truncate its next answer."""
        draw = self._truncation_random
        if draw.random() >= self._truncated_share:
            return
        server = self.front.servers[draw.choice(sorted(self.front.servers))]
        framing, ending = draw.choice(TRUNCATIONS)
        is_stream = server.entry['service'] == 'llm'
        whole = WHOLE_STREAM if is_stream else PATHS['/stock/1'][1]
        part = whole[: draw.randrange(len(whole))]
        kind = 'text/event-stream' if is_stream else ''
        server.script.append(BodyScript(framing, ending, part, kind))

    def _roll_back_store(self) -> list[threading.Timer]:
        """Replace the store's content by an older copy.

        Return the timers after which writers renew their objects and the
        entries of gone servers lapse.
        """
        if not self._return_share:
            return []
        self._copies = [*self._copies, self.front.store.take_snapshot()][
            -MAX_COPIES:
        ]
        if self._return_random.random() >= self._return_share:
            return []
        copy_count = self._return_random.randrange(len(self._copies)) + 1
        self._copies = self._copies[:copy_count]
        self.front.store.restore(self._copies[-1])
        delayed_actions = [(LAPSE_SECONDS, self._remove_lapsed_entries)]
        for write in (
            self._write_routes,
            *(server.write_entry for server in self.front.servers.values()),
        ):
            delayed_actions.append(
                (self._return_random.uniform(*REWRITE_DELAY), write)
            )
        timers = [threading.Timer(*delayed) for delayed in delayed_actions]
        for timer in timers:
            timer.start()
        return timers

    def _remove_lapsed_entries(self) -> None:
        """Remove the copy's entries of servers that are gone."""
        store = self.front.store
        for name in store.list_names('servers') - self.front.servers.keys():
            with contextlib.suppress(KeyError):
                store.remove('servers', name)

    def _write_routes(self) -> None:
        self.front.store.put('config', 'main', self._manifest)

    def _choose_front(self) -> tuple[str, Process]:
        return self.random.choice(sorted(self.fronts.items()))

    def _start(self, name: str) -> Process:
        port = self._store_relays[name].port
        module = None
        if name == self._cuttable_front:
            module = [
                'tests.rerouted',
                str(self._ports_file),
                'waywell.platform',
            ]
        process = self.front.start(name, f'127.0.0.1:{port}', module=module)
        self._started_at[process] = time.monotonic()
        return process

    def _restart(self, name: str) -> None:
        if self.fronts[name].is_running():
            self.fronts[name].kill()
        (self.front.folder / f'{name}.log').write_text('')
        self.fronts[name] = self._start(name)

    def _list_relays(self) -> list[Relay]:
        return [*self._server_relays, *self._store_relays.values()]

    def _add_relay(self, server: Server) -> Relay:
        """Put a relay before a server and publish the relay's port."""
        relay = Relay(int(server.entry['address'].rpartition(':')[2]))
        relay.passes_resets = bool(self._truncated_share)
        server.entry['address'] = f'127.0.0.1:{relay.port}'
        server.write_entry()
        if self._prompt_share:
            server.crashing_prompt_parts = frozenset((CRASHING_PART,))
            server.on_crash = relay.refuse_new
        return relay

    def _kill(self) -> Any:
        name, process = self._choose_front()
        self._record_interruption(process)
        process.kill()
        return lambda: self._restart(name)

    def _pause(self) -> Any:
        _name, process = self._choose_front()
        self._record_interruption(process)
        process.send_signal(signal.SIGSTOP)
        return lambda: process.send_signal(signal.SIGCONT)

    def _stop(self) -> Any:
        name, process = self._choose_front()
        self._record_fault(process)
        process.send_signal(signal.SIGTERM)
        return lambda: self._restart(name)

    def _reload(self) -> None:
        self._choose_front()[1].send_signal(signal.SIGHUP)

    def _stop_store(self) -> Any:
        self.front.store.is_down = True
        return lambda: setattr(self.front.store, 'is_down', False)

    def _disturb_store(self) -> Any:
        """Make the store slow, refuse calls, or lose answers or history."""
        store = self.front.store
        kind = self.random.choice(('slow', 'loses', 'refuses', 'forgets'))
        if kind == 'slow':
            store.delay_seconds = self.random.uniform(*DELAY_SECONDS)
            return lambda: setattr(store, 'delay_seconds', 0.0)
        if kind == 'loses':
            store.drops_answers = True
            return lambda: setattr(store, 'drops_answers', False)
        if kind == 'refuses':
            store.refusal_status = self.random.choice(REFUSAL_STATUSES)
            return lambda: setattr(store, 'refusal_status', 0)
        store.forget_history()
        return None

    def _disturb_store_relay(self) -> Any:
        names = sorted(self._store_relays)
        return self._disturb_relay(
            self._store_relays[self.random.choice(names)]
        )

    def _disturb_server_relay(self) -> Any:
        relay = self.random.choice(self._server_relays)
        self._disturbed_ports.add(relay.port)
        return self._disturb_relay(relay)

    def _disturb_relay(self, relay: Relay) -> Any:
        """Cut, silence in one direction, reset or delay a relay."""
        kind = self.random.choice(('cut', 'there', 'back', 'reset', 'delay'))
        if kind == 'reset':
            relay.reset()
            return None
        if kind == 'cut':
            relay.cut()
        elif kind == 'delay':
            relay.delay = self.random.uniform(*DELAY_SECONDS)
        else:
            relay.silence(Direction(kind))
        return relay.restore

    def _announce_rest_or_leaving(self) -> None:
        """Make a server request rest or announce that it leaves.

        Servers that announced it earlier are replaced when their time is up.
        """
        now = time.monotonic()
        for name, ends_at in tuple(self._leaving_until.items()):
            if now >= ends_at:
                self._leaving_until.pop(name)
                if name in self.front.servers:
                    self._replace_server(name)
        if self._announcement_random.random() > ANNOUNCEMENT_SHARE:
            return
        name = self._announcement_random.choice(sorted(self.front.servers))
        server = self.front.servers[name]
        if self._announcement_random.random() < 0.5:
            server.retry_after = self._announcement_random.choice(REST_TEXTS)
            server.script.append('rest')
        else:
            server.is_leaving = True
            self._leaving_until[name] = (
                now + self._announcement_random.uniform(*LEAVING_DURATION)
            )

    def _set_limit(self) -> None:
        """Make a server report a limit unless one has a limit already."""
        now = time.monotonic()
        self._end_limits(now)
        if any(period.server.server_limit for period in self._limit_periods):
            return
        if self._limit_random.random() > LIMIT_SHARE:
            return
        name = self._limit_random.choice(sorted(self.front.servers))
        server = self.front.servers[name]
        server.server_limit = self._limit_random.choice(LIMIT_TEXTS)
        ends_at = now + self._limit_random.uniform(*LIMIT_DURATION)
        limit = float(server.server_limit)
        self._limit_periods.append(_LimitPeriod(server, limit, ends_at))

    def _end_limits(self, due_at: float = float('inf')) -> None:
        """End the limits that are due by a time or whose server is gone."""
        now = time.monotonic()
        for period in self._limit_periods:
            is_gone = period.server.name not in self.front.servers
            if period.server.server_limit and (
                is_gone or period.ends_at <= due_at
            ):
                period.server.server_limit = ''
                period.ends_at = min(period.ends_at, now)

    def _record_interruption(self, process: Process) -> None:
        """Record a fault and ignore a killed or stopped front for limits."""
        self._record_fault(process)
        for period in self._limit_periods:
            period.end_span(process, time.monotonic())

    def _replace_ended_servers(self) -> None:
        """Replace the servers that crashed under a request."""
        for name, server in tuple(self.front.servers.items()):
            if server.has_ended:
                self._replace_server(name)

    def _crash_server(self) -> None:
        self._replace_server(self.random.choice(sorted(self.front.servers)))

    def _replace_server(self, name: str) -> None:
        old = self.front.servers.pop(name)
        service = old.entry['service']
        self.front.removed_servers.append(old)
        old.stop_and_delist()
        self._servers_started += 1
        new = f'{name[:2]}-{self._servers_started}'
        server = Server(self.front.store, new, service)
        self.front.servers[new] = server
        relay = self._add_relay(server)
        self._server_relays.append(relay)
        if self._cuttable_front:
            self._replica_links.add(relay.port)
            write_port_map(self._ports_file, self._replica_links.ports)

    def _script_answers(self) -> None:
        acts = ('reject', 'reset', 'fail', 'cut-3', 'foreign')
        for server in self.front.servers.values():
            server.script.append(self.random.choice(acts))

    def _change_routes(self) -> None:
        self._version += 1
        keys = [] if self._removed_at < time.monotonic() else [KEY]
        tenants = [{'name': 'shop', 'api_keys': ['another', *keys]}]
        self._manifest = make_manifest(self._version, tenants=tenants)
        self._write_routes()

    def _remove_key(self) -> None:
        if self._version > VERSIONS_WITH_KEY:
            self._removed_at = min(self._removed_at, time.monotonic())
            self._change_routes()

    def _restore(self) -> None:
        """End all faults and wait until every front serves again."""
        self.front.store.is_down = False
        self._end_limits()
        for relay in (*self._list_relays(), self._replica_links):
            relay.restore()
        # The first version does not contain the key that the check uses.
        self._change_routes()
        for server in tuple(self.front.servers.values()):
            server.script.clear()
            if server.is_leaving:
                self._replace_server(server.name)
        self._replace_ended_servers()
        for name, process in tuple(self.fronts.items()):
            if not process.is_running():
                self._restart(name)
        for process in self.fronts.values():
            wait_until(
                lambda front=process: self._is_serving(front),
                'service after faults',
            )

    def _is_serving(self, process: Process) -> bool:
        with contextlib.suppress(OSError, http.client.HTTPException):
            status, body, _answer = self.front.send_request(
                process,
                '/notes/1',
                'small',
                key='another',
                X_Prompt_Prefix='f0:40,c1:40,e0:1',
            )
            return status == 200 and body == WHOLE_STREAM
        return False

    def _run_caller(self) -> None:
        while not self._is_finished.is_set():
            with self._lock:
                self._attempt_count += 1
                attempt = f'soak-{self._attempt_count}'
            path = random.choice(sorted(PATHS))
            process = random.choice(sorted(self.fronts.items()))[1]
            key = random.choice([KEY, 'another'])
            self._requests[attempt] = (key, time.monotonic())
            self._front_by_attempt[attempt] = process
            try:
                self._send_request(process, path, attempt, key)
            except (OSError, http.client.HTTPException, RuntimeError):
                self.outcomes['cut'] += 1
                time.sleep(RETRY_PAUSE_SECONDS)

    def _send_request(
        self,
        process: Process,
        path: str,
        attempt: str,
        key: str,
    ) -> None:
        model, whole = PATHS[path]
        status, body, answer = self.front.send_request(
            process,
            path,
            model,
            key,
            body=b'{"attempt": "%s"}' % attempt.encode(),
            X_Request_Attempt_Id=attempt,
            X_Prompt_Prefix=self._make_prompt_parts(attempt),
        )
        self.outcomes[str(status)] += 1
        stamp = answer.getheader('X-Replica-Stamp', '')
        name = stamp.removeprefix('stamp-of-')
        if answer.getheader('Server-Leaving'):
            self._leaving_reported_at.setdefault(
                (process, name), time.monotonic()
            )
        if answer.getheader('Server-Limit'):
            self._record_reported_limit(process, name)
        if status == 200 and body != whole:
            self.violations.append(f'{attempt}: incomplete answer: {body!r}')
        if answer.getheader('waywell-ran') == 'not_run':
            self._not_run.add(attempt)
        if status != 200:
            time.sleep(RETRY_PAUSE_SECONDS)

    def _make_prompt_parts(self, attempt: str) -> str:
        """Return the parts of a prompt; the last is unique to the request."""
        parts = ['f0', f'c{random.randrange(4)}']
        if random.random() < self._prompt_share:
            parts[random.randrange(2)] = CRASHING_PART
        own = attempt.removeprefix('soak-')
        return ','.join(f'{part}:40' for part in (*parts, f'{own}f'))

    def _check_crashes(self) -> None:
        """Check the number of crashes by the crashing part after the fifth.

        Only requests from nodes in contact with the others count.  Prompt
        parts of other requests must be served at the end of the run.
        """
        servers = (*self.front.servers.values(), *self.front.removed_servers)
        crashes = sorted(
            crash for server in servers for crash in server.crashes
        )
        self.outcomes['crash'] = len(crashes)
        if len(crashes) <= CRASHES_BEFORE_BOUND:
            return
        bound_from = crashes[CRASHES_BEFORE_BOUND - 1][0] + CONTACT_SECONDS
        counted = [
            at
            for at, attempt in crashes
            if at > bound_from and self._had_contact(attempt, at)
        ]
        if len(counted) > MAX_LATER_CRASHES:
            self.violations.append(
                f'{CRASHING_PART}: {len(counted)} further crashes'
            )

    def _record_fault(self, process: Process) -> None:
        self._faults_at.setdefault(process, []).append(time.monotonic())

    def _had_contact(self, attempt: str, at: float) -> bool:
        """Return whether the node that sent a request had no recent fault."""
        process = self._front_by_attempt[attempt]
        began_at = self._started_at.get(process, 0.0)
        faults = [began_at, *self._faults_at.get(process, [])]
        return all(
            abs(at - fault) > CONTACT_SECONDS + FAULT_DURATION[1]
            for fault in faults
        )

    def _record_reported_limit(self, process: Process, name: str) -> None:
        for period in self._limit_periods:
            if period.server.name == name and period.server.server_limit:
                period.record_report(process, time.monotonic())

    def _check_promises(self) -> None:
        """Compare what servers ran with the answers that callers received."""
        runs: Counter[str] = Counter()
        for server in (
            *self.front.servers.values(),
            *self.front.removed_servers,
        ):
            for run in list(server.runs):
                attempt = run.get('X-Request-Attempt-Id', '')
                if not attempt:
                    self.violations.append(
                        f'{server.name} ran a request without id: {run}'
                    )
                    continue
                runs[attempt] += 1
                if 'X-Model' not in run and runs[attempt] > 1:
                    self._check_repeated_run(attempt, run)
        for attempt in self._not_run & runs.keys():
            self.violations.append(f'{attempt}: reported as not run, but ran')
        for attempt in runs:
            key, sent_at = self._requests.get(attempt, ('', 0.0))
            if key == KEY and sent_at > self._removed_at + KEY_REMOVAL_SECONDS:
                self.violations.append(f'{attempt}: ran with a removed key')

        self._check_crashes()
        for server in (
            *self.front.servers.values(),
            *self.front.removed_servers,
        ):
            self._check_leaving(server)
            if server.get_port() not in self._disturbed_ports:
                self._check_rests(server)
        for limit_period in self._limit_periods:
            if limit_period.server.get_port() not in self._disturbed_ports:
                self._check_limit(limit_period)

    def _check_limit(self, limit_period: _LimitPeriod) -> None:
        """Check the arrivals from nodes that knew the limit against it."""
        for process in tuple(limit_period.reported_at):
            limit_period.end_span(process, time.monotonic())
        arrivals = [
            at
            for at, attempt in limit_period.server.arrivals
            if limit_period.is_bound(self._front_by_attempt.get(attempt), at)
        ]
        if count_most(arrivals) > count_allowed(limit_period.limit):
            name = limit_period.server.name
            self.violations.append(
                f'{name}: exceeded its limit {limit_period.limit}'
            )

    def _check_leaving(self, server: Server) -> None:
        """Check that nodes sent nothing to a server they knew was leaving."""
        for _at, attempt in server.arrivals:
            reporter = (self._front_by_attempt.get(attempt), server.name)
            sent_at = self._requests.get(attempt, ('', 0.0))[1]
            reported_at = self._leaving_reported_at.get(reporter, float('inf'))
            if sent_at > reported_at + LEAVING_GRACE_SECONDS:
                self.violations.append(f'{attempt}: sent to a leaving server')

    def _check_rests(self, server: Server) -> None:
        """Check that nodes respected the rests that the server requested.

        Servers behind a disturbed relay are not checked, because the relay
        may have lost the request for rest.
        """
        for asked_at, seconds, attempt in server.rest_answers:
            node = self._front_by_attempt.get(attempt)
            count = sum(
                asked_at + REST_GRACE_SECONDS < at < asked_at + seconds
                and self._front_by_attempt.get(other) is node
                for at, other in server.arrivals
            )
            if count > MAX_DURING_REST:
                rest = f'the {seconds} s of rest requested from {attempt}'
                self.violations.append(
                    f'{server.name}: {count} requests during {rest}'
                )

    def _check_repeated_run(self, attempt: str, run: dict[str, str]) -> None:
        if run.get('X-Path') == '/match/1':
            self.violations.append(f'{attempt}: ran twice')


def run_seed(seed: int, seconds: float, **shares: float) -> list[str]:
    """Run one seed; keep its folder only if a promise was broken."""
    folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    soak = Soak(seed, folder, **shares)
    broken = soak.run(seconds)
    print(f'seed={seed} ends={dict(soak.outcomes)} broken={broken or "none"}')  # noqa: T201
    if broken:
        print(f'seed={seed} logs={folder}')  # noqa: T201
    else:
        shutil.rmtree(folder)
    return broken


def main(
    seeds: int = 50,
    first: int = 1,
    seconds: float = 20.0,
    returns: bool = False,
    cuts: bool = False,
    truncates: bool = False,
    prompts: bool = False,
) -> None:
    """Run a number of seeds and print those that broke a promise."""
    failed = [
        seed
        for seed in range(first, first + seeds)
        if run_seed(
            seed,
            seconds,
            return_share=returns * RETURN_SHARE,
            cut_share=cuts * CUT_SHARE,
            truncated_share=truncates * TRUNCATED_SHARE,
            prompt_share=prompts * PROMPT_SHARE,
        )
    ]
    print(f'{seeds} seeds, failed: {failed or "none"}')  # noqa: T201


if __name__ == '__main__':
    fire.Fire(main)
