"""A randomized soak: real front daemons, faults from outside, promises checked.

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
from tests.front_bench import WHOLE, Front
from tests.limits import KNOWN_SECONDS, count_allowed, count_most
from tests.relay import Direction, Relay
from tests.replica_paths import Cut, ReplicaRelays
from tests.rerouted import write_ports
from waywell.standins.harness import Process, wait_until

FRONTS = 3
"""Front daemons."""

CALLERS = 4
"""Threads that send requests."""

KEY_BOUND = 5.0
"""Seconds after which a removed key must be dead everywhere."""

PAUSES = (0.1, 0.8)
"""Least and most seconds between two faults; faults overlap."""

HEALED_AFTER = (0.2, 2.5)
"""Least and most seconds until a fault is healed."""

VERSIONS_WITH_KEY = 4
"""Versions of the routes that surely hold the key: it is removed after some
changes only, so that it is in use before."""

REST_SECONDS = 0.02
"""Seconds that a caller waits after a request that failed."""

REST_TEXTS = ('0.8', '1.5', '3')
"""Seconds of rest that a server asks for."""

REST_KNOWN_SECONDS = 0.5
"""After a wish for rest, for which requests may still be on their way."""

MOST_DURING_REST = 2
"""Requests of one node that may come nevertheless."""

LEAVING_KNOWN_SECONDS = 2.0
"""After a node has passed on that a server leaves, for which it may still
send requests to it."""

LEAVES_AFTER = (2.5, 4.0)
"""Least and most seconds from the word of leaving to the end."""

WISH_SHARE = 0.25
"""Part of the steps in which a server asks for something."""

LIMIT_TEXTS = ('0', '0.5', '2')
"""Requests a second that a server says it takes from all."""

LIMIT_SHARE = 0.5
"""Part of the steps in which a server names a limit, where none has one."""

LIMIT_LASTS = (6.0, 9.0)
"""Least and most seconds for which a server has a limit."""

LIMIT_TOLD_SECONDS = 0.5
"""After a node has passed on a limit, from when on it is counted."""

SLOW_SECONDS = (0.05, 0.6)
"""Least and most seconds by which a relay or the store delays."""

RETURN_SHARE = 0.15
"""Part of the steps in which the store comes back from an older copy, in runs
that have such returns."""

CUT_SHARE = 0.15
"""Part of the steps in which one node loses its links to all servers, in runs
that have such cuts."""

TRUNCATED_SHARE = 0.25
"""Part of the steps in which a server breaks an answer off, in runs that have
such answers."""

PROMPT_SHARE = 0.05
"""Part of the requests that have a part which crashes servers, in runs that
have such requests."""

BAD_PART = 'bad0'
"""Part that crashes servers."""

CONTACT_SECONDS = 3.0
"""Seconds without a fault after which a node is bound by what others know."""

CRASHES_BOUND = 5
"""Crashes under one part after which the bound holds."""

MOST_AFTER_FIVE = 3
"""Requests with the bad part that may follow the fifth crash."""

COPIES = 6
"""Copies of the last steps, each of which the store may come back from."""

WRITTEN_AGAIN_WITHIN = (0.1, 2.0)
"""Least and most seconds until operators and servers have written again."""

LAPSE_SECONDS = 4.0
"""After the store's return, until entries that no server renews lapse."""

REFUSALS = (429, 503)
"""HTTP statuses with which the store turns a call away."""

KINDS = {
    '/notes/1': ('small', WHOLE),
    '/match/1': ('', b'the whole answer'),
    '/stock/1': ('', b'the whole answer'),
}
"""Model and whole answer by path."""


ENDS = (
    *((framing, Ending.RESET) for framing in Framing),
    (Framing.LENGTH, Ending.CLOSE),
    (Framing.CHUNKED, Ending.CLOSE),
)
"""Ends of an answer that no whole one has."""


@attrs.define
class _Limited:
    """A server that says that it takes few requests."""

    server: Server
    limit: float
    ends_at: float
    first_told_at: float = float('inf')
    told: dict[Process, float] = attrs.Factory(dict)
    spans: list[tuple[Process, float, float]] = attrs.Factory(list)

    def note_told(self, process: Process, now: float) -> None:
        """Note that a process has passed the limit on."""
        self.first_told_at = min(self.first_told_at, now)
        self.told.setdefault(process, now)

    def excuse(self, process: Process, now: float) -> None:
        """Count a process no more until it has passed the limit on again."""
        if process in self.told:
            self.spans.append((process, self.told.pop(process), now))

    def counts(self, process: Process | None, at: float) -> bool:
        """Answer whether an arrival counts against the limit."""
        if not self.first_told_at + KNOWN_SECONDS <= at <= self.ends_at:
            return False
        return any(
            one is process and since + LIMIT_TOLD_SECONDS <= at <= until
            for one, since, until in self.spans
        )


class Soak:
    """One run with one seed.

    Parameters
    ----------
    seed
        Seed of the faults.  What callers ask is drawn without it: their
        threads take turns by chance, so no seed would repeat a run exactly.
    folder
        Folder for settings and logs.
    return_share
        Part of the steps in which the store comes back from an older copy.
    cut_share
        Part of the steps in which one node loses its links to all servers.
    truncated_share
        Part of the steps in which a server breaks an answer off.
    prompt_share
        Part of the requests that have a part which crashes servers.
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
        """Start everything."""
        self._prompt_share = prompt_share
        self._disturbed_at: dict[Process, list[float]] = {}
        self._started_at: dict[Process, float] = {}
        self.random = random.Random(seed)
        self._returns = random.Random(seed + 3)
        self._return_share = return_share
        self._cut_share = cut_share
        self._truncated_share = truncated_share
        self._copies: list[StoreSnapshot] = []
        self._manifest = make_manifest()
        # The seeds that ever failed go on to draw the faults that they drew.
        self._wishes = random.Random(seed + 1)
        self._naming = random.Random(seed + 2)
        self._cuts = random.Random(seed + 4)
        self._truncations = random.Random(seed + 5)
        self._limited: list[_Limited] = []
        self._leaving: dict[str, float] = {}
        self._told_leaving: dict[tuple[Process, str], float] = {}
        self._asked: dict[str, Process] = {}
        self._spoiled: set[int] = set()
        self.front = Front(folder)
        self.front.add_servers()
        self._ways_to_servers = [
            self._lead_through_relay(server)
            for server in self.front.servers.values()
        ]
        self._links = ReplicaRelays(
            relay.port for relay in self._ways_to_servers if cut_share
        )
        if truncated_share:
            self._links.pass_resets()
        self._ports = folder / 'ports.json'
        write_ports(self._ports, self._links.ports)
        self._links_back_at = 0.0
        names = [f'front-{number}' for number in range(1, FRONTS + 1)]
        self._cuttable = self._cuts.choice(names) if cut_share else ''
        port = int(self.front.store.address.rpartition(':')[2])
        self._ways_to_store = {name: Relay(port) for name in names}
        self.fronts = {name: self._start(name) for name in names}
        self.broken: list[str] = []
        self.ends: Counter[str] = Counter()
        self._sent: dict[str, tuple[str, float]] = {}
        self._not_run: set[str] = set()
        self._removed_at = float('inf')
        self._version = 1
        self._servers = 0
        self._attempts = 0
        self._lock = threading.Lock()
        self._is_over = threading.Event()

    def run(self, seconds: float) -> list[str]:
        """Play; return the promises that were broken."""
        try:
            for process in self.fronts.values():
                self.front.wait_serving(process)
            callers = [
                threading.Thread(target=self._call_on) for _ in range(CALLERS)
            ]
            for caller in callers:
                caller.start()
            self._play(time.monotonic() + seconds)
            self._heal()
            self._is_over.set()
            for caller in callers:
                caller.join()
            self._check()
            return self.broken + self.front.store.violations
        finally:
            self._is_over.set()
            for relay in (*self._list_relays(), self._links):
                relay.close()
            self.front.close()

    def _play(self, ends_at: float) -> None:
        faults = [
            self._kill,
            self._pause,
            self._stop,
            self._hang_up,
            self._silence_store,
            self._misuse_store,
            self._spoil_way_to_store,
            self._spoil_way_to_server,
            self._crash_server,
            self._spoil_answers,
            self._change_routes,
            self._remove_key,
        ]
        healing: list[threading.Timer] = []
        while time.monotonic() < ends_at:
            self._ask_wish()
            self._name_limit()
            healing.extend(self._return_store())
            healing.extend(self._cut_links())
            self._truncate_answer()
            self._replace_ended()
            heal = self.random.choice(faults)()
            if heal is not None:
                timer = threading.Timer(
                    self.random.uniform(*HEALED_AFTER), heal
                )
                timer.start()
                healing.append(timer)
            time.sleep(self.random.uniform(*PAUSES))
        for timer in healing:
            timer.join()

    def _cut_links(self) -> list[threading.Timer]:
        """Take one node's links to all servers away; return their return."""
        now = time.monotonic()
        if now < self._links_back_at or self._cuts.random() >= self._cut_share:
            return []
        self._links.cut(self._cuts.choice(list(Cut)))
        seconds = self._cuts.uniform(*HEALED_AFTER)
        self._links_back_at = now + seconds
        timer = threading.Timer(seconds, self._links.mend)
        timer.start()
        return [timer]

    def _truncate_answer(self) -> None:
        """Let a server break its next answer off."""
        draw = self._truncations
        if draw.random() >= self._truncated_share:
            return
        server = self.front.servers[draw.choice(sorted(self.front.servers))]
        framing, ending = draw.choice(ENDS)
        is_stream = server.entry['service'] == 'llm'
        whole = WHOLE if is_stream else KINDS['/stock/1'][1]
        part = whole[: draw.randrange(len(whole))]
        kind = 'text/event-stream' if is_stream else ''
        server.script.append(BodyScript(framing, ending, part, kind))

    def _return_store(self) -> list[threading.Timer]:
        """Let the store come back from a copy; return what is done later."""
        if not self._return_share:
            return []
        self._copies = [*self._copies, self.front.store.take_snapshot()][
            -COPIES:
        ]
        if self._returns.random() >= self._return_share:
            return []
        kept = self._returns.randrange(len(self._copies)) + 1
        self._copies = self._copies[:kept]
        self.front.store.restore(self._copies[-1])
        later = [(LAPSE_SECONDS, self._let_entries_lapse)]
        for write in (
            self._write_routes,
            *(server.write_entry for server in self.front.servers.values()),
        ):
            later.append((self._returns.uniform(*WRITTEN_AGAIN_WITHIN), write))
        timers = [threading.Timer(*one) for one in later]
        for timer in timers:
            timer.start()
        return timers

    def _let_entries_lapse(self) -> None:
        """Remove what the copy shows of servers that are gone."""
        store = self.front.store
        for name in store.list_names('servers') - self.front.servers.keys():
            with contextlib.suppress(KeyError):
                store.remove('servers', name)

    def _write_routes(self) -> None:
        self.front.store.put('config', 'main', self._manifest)

    def _pick(self) -> tuple[str, Process]:
        return self.random.choice(sorted(self.fronts.items()))

    def _start(self, name: str) -> Process:
        port = self._ways_to_store[name].port
        module = None
        if name == self._cuttable:
            module = ['tests.rerouted', str(self._ports), 'waywell.platform']
        process = self.front.start(name, f'127.0.0.1:{port}', module=module)
        self._started_at[process] = time.monotonic()
        return process

    def _restart(self, name: str) -> None:
        if self.fronts[name].is_running():
            self.fronts[name].kill()
        (self.front.folder / f'{name}.log').write_text('')
        self.fronts[name] = self._start(name)

    def _list_relays(self) -> list[Relay]:
        return [*self._ways_to_servers, *self._ways_to_store.values()]

    def _lead_through_relay(self, server: Server) -> Relay:
        """Put a relay before a server; its entry tells the relay's port."""
        relay = Relay(int(server.entry['address'].rpartition(':')[2]))
        relay.passes_resets = bool(self._truncated_share)
        server.entry['address'] = f'127.0.0.1:{relay.port}'
        server.write_entry()
        if self._prompt_share:
            server.crashing_prompt_parts = frozenset((BAD_PART,))
            server.on_crash = relay.refuse_new
        return relay

    def _kill(self) -> Any:
        name, process = self._pick()
        self._excuse(process)
        process.kill()
        return lambda: self._restart(name)

    def _pause(self) -> Any:
        _name, process = self._pick()
        self._excuse(process)
        process.send_signal(signal.SIGSTOP)
        return lambda: process.send_signal(signal.SIGCONT)

    def _stop(self) -> Any:
        name, process = self._pick()
        self._note_disturbed(process)
        process.send_signal(signal.SIGTERM)
        return lambda: self._restart(name)

    def _hang_up(self) -> None:
        self._pick()[1].send_signal(signal.SIGHUP)

    def _silence_store(self) -> Any:
        self.front.store.is_down = True
        return lambda: setattr(self.front.store, 'is_down', False)

    def _misuse_store(self) -> Any:
        """Let the store be slow, lose answers, refuse, or forget."""
        store = self.front.store
        kind = self.random.choice(('slow', 'loses', 'refuses', 'forgets'))
        if kind == 'slow':
            store.delay_seconds = self.random.uniform(*SLOW_SECONDS)
            return lambda: setattr(store, 'delay_seconds', 0.0)
        if kind == 'loses':
            store.drops_answers = True
            return lambda: setattr(store, 'drops_answers', False)
        if kind == 'refuses':
            store.refusal_status = self.random.choice(REFUSALS)
            return lambda: setattr(store, 'refusal_status', 0)
        store.forget_history()
        return None

    def _spoil_way_to_store(self) -> Any:
        names = sorted(self._ways_to_store)
        return self._spoil(self._ways_to_store[self.random.choice(names)])

    def _spoil_way_to_server(self) -> Any:
        relay = self.random.choice(self._ways_to_servers)
        self._spoiled.add(relay.port)
        return self._spoil(relay)

    def _spoil(self, relay: Relay) -> Any:
        """Cut, silence one way, reset or delay what goes over a relay."""
        kind = self.random.choice(('cut', 'there', 'back', 'reset', 'delay'))
        if kind == 'reset':
            relay.reset()
            return None
        if kind == 'cut':
            relay.cut()
        elif kind == 'delay':
            relay.delay = self.random.uniform(*SLOW_SECONDS)
        else:
            relay.silence(Direction(kind))
        return relay.restore

    def _ask_wish(self) -> None:
        """Let servers ask for rest, or say that they leave and do so."""
        now = time.monotonic()
        for name, ends_at in tuple(self._leaving.items()):
            if now >= ends_at:
                self._leaving.pop(name)
                if name in self.front.servers:
                    self._replace(name)
        if self._wishes.random() > WISH_SHARE:
            return
        name = self._wishes.choice(sorted(self.front.servers))
        server = self.front.servers[name]
        if self._wishes.random() < 0.5:
            server.retry_after = self._wishes.choice(REST_TEXTS)
            server.script.append('rest')
        else:
            server.is_leaving = True
            self._leaving[name] = now + self._wishes.uniform(*LEAVES_AFTER)

    def _name_limit(self) -> None:
        """Let a server name a limit, or the one that has one end it."""
        now = time.monotonic()
        self._end_limits(now)
        if any(one.server.server_limit for one in self._limited):
            return
        if self._naming.random() > LIMIT_SHARE:
            return
        name = self._naming.choice(sorted(self.front.servers))
        server = self.front.servers[name]
        server.server_limit = self._naming.choice(LIMIT_TEXTS)
        ends_at = now + self._naming.uniform(*LIMIT_LASTS)
        limit = float(server.server_limit)
        self._limited.append(_Limited(server, limit, ends_at))

    def _end_limits(self, due_at: float = float('inf')) -> None:
        """Let servers take what they are sent whose limit is to end by then."""
        now = time.monotonic()
        for one in self._limited:
            is_gone = one.server.name not in self.front.servers
            if one.server.server_limit and (is_gone or one.ends_at <= due_at):
                one.server.server_limit = ''
                one.ends_at = min(one.ends_at, now)

    def _excuse(self, process: Process) -> None:
        """Count no more what a process sends that is ended or stands still."""
        self._note_disturbed(process)
        for one in self._limited:
            one.excuse(process, time.monotonic())

    def _replace_ended(self) -> None:
        """Let servers that crashed under a request come back."""
        for name, server in tuple(self.front.servers.items()):
            if server.has_ended:
                self._replace(name)

    def _crash_server(self) -> None:
        self._replace(self.random.choice(sorted(self.front.servers)))

    def _replace(self, name: str) -> None:
        old = self.front.servers.pop(name)
        service = old.entry['service']
        self.front.gone.append(old)
        old.stop_and_delist()
        self._servers += 1
        new = f'{name[:2]}-{self._servers}'
        server = Server(self.front.store, new, service)
        self.front.servers[new] = server
        relay = self._lead_through_relay(server)
        self._ways_to_servers.append(relay)
        if self._cuttable:
            self._links.add(relay.port)
            write_ports(self._ports, self._links.ports)

    def _spoil_answers(self) -> None:
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

    def _heal(self) -> None:
        """Wait until the system serves as at the start."""
        self.front.store.is_down = False
        self._end_limits()
        for relay in (*self._list_relays(), self._links):
            relay.restore()
        # The first version does not know the key that is asked with.
        self._change_routes()
        for server in tuple(self.front.servers.values()):
            server.script.clear()
            if server.is_leaving:
                self._replace(server.name)
        self._replace_ended()
        for name, process in tuple(self.fronts.items()):
            if not process.is_running():
                self._restart(name)
        for process in self.fronts.values():
            wait_until(
                lambda one=process: self._serves(one), 'service after faults'
            )

    def _serves(self, process: Process) -> bool:
        with contextlib.suppress(OSError, http.client.HTTPException):
            status, body, _answer = self.front.ask(
                process,
                '/notes/1',
                'small',
                key='another',
                X_Prompt_Prefix='f0:40,c1:40,e0:1',
            )
            return status == 200 and body == WHOLE
        return False

    def _call_on(self) -> None:
        while not self._is_over.is_set():
            with self._lock:
                self._attempts += 1
                attempt = f'soak-{self._attempts}'
            path = random.choice(sorted(KINDS))
            process = random.choice(sorted(self.fronts.items()))[1]
            key = random.choice([KEY, 'another'])
            self._sent[attempt] = (key, time.monotonic())
            self._asked[attempt] = process
            try:
                self._call(process, path, attempt, key)
            except (OSError, http.client.HTTPException, RuntimeError):
                self.ends['cut'] += 1
                time.sleep(REST_SECONDS)

    def _call(
        self,
        process: Process,
        path: str,
        attempt: str,
        key: str,
    ) -> None:
        model, whole = KINDS[path]
        status, body, answer = self.front.ask(
            process,
            path,
            model,
            key,
            body=b'{"attempt": "%s"}' % attempt.encode(),
            X_Request_Attempt_Id=attempt,
            X_Prompt_Prefix=self._draw_prompt(attempt),
        )
        self.ends[str(status)] += 1
        stamp = answer.getheader('X-Replica-Stamp', '')
        name = stamp.removeprefix('stamp-of-')
        if answer.getheader('Server-Leaving'):
            self._told_leaving.setdefault((process, name), time.monotonic())
        if answer.getheader('Server-Limit'):
            self._note_told_limit(process, name)
        if status == 200 and body != whole:
            self.broken.append(f'{attempt}: not the whole answer: {body!r}')
        if answer.getheader('waywell-ran') == 'not_run':
            self._not_run.add(attempt)
        if status != 200:
            time.sleep(REST_SECONDS)

    def _draw_prompt(self, attempt: str) -> str:
        """Return the parts of a prompt; the last is the request's own."""
        parts = ['f0', f'c{random.randrange(4)}']
        if random.random() < self._prompt_share:
            parts[random.randrange(2)] = BAD_PART
        own = attempt.removeprefix('soak-')
        return ','.join(f'{part}:40' for part in (*parts, f'{own}f'))

    def _check_crashes(self) -> None:
        """Count what nodes in touch sent with the bad part after five crashes.

        The parts of sound requests must be served at the end.
        """
        servers = (*self.front.servers.values(), *self.front.gone)
        crashes = sorted(one for server in servers for one in server.crashes)
        self.ends['crash'] = len(crashes)
        if len(crashes) <= CRASHES_BOUND:
            return
        bound_from = crashes[CRASHES_BOUND - 1][0] + CONTACT_SECONDS
        counted = [
            at
            for at, attempt in crashes
            if at > bound_from and self._was_in_touch(attempt, at)
        ]
        if len(counted) > MOST_AFTER_FIVE:
            self.broken.append(f'{BAD_PART}: {len(counted)} more crashes')

    def _note_disturbed(self, process: Process) -> None:
        self._disturbed_at.setdefault(process, []).append(time.monotonic())

    def _was_in_touch(self, attempt: str, at: float) -> bool:
        """Answer whether the node that sent a request ran undisturbed."""
        process = self._asked[attempt]
        began_at = self._started_at.get(process, 0.0)
        faults = [began_at, *self._disturbed_at.get(process, [])]
        return all(
            abs(at - fault) > CONTACT_SECONDS + HEALED_AFTER[1]
            for fault in faults
        )

    def _note_told_limit(self, process: Process, name: str) -> None:
        for one in self._limited:
            if one.server.name == name and one.server.server_limit:
                one.note_told(process, time.monotonic())

    def _check(self) -> None:
        """Hold what servers ran against what callers were told."""
        runs: Counter[str] = Counter()
        for server in (*self.front.servers.values(), *self.front.gone):
            for run in list(server.runs):
                attempt = run.get('X-Request-Attempt-Id', '')
                if not attempt:
                    self.broken.append(f'{server.name} ran without id: {run}')
                    continue
                runs[attempt] += 1
                if 'X-Model' not in run and runs[attempt] > 1:
                    self._note_second(attempt, run)
        for attempt in self._not_run & runs.keys():
            self.broken.append(f'{attempt}: told as not run, and ran')
        for attempt in runs:
            key, sent_at = self._sent.get(attempt, ('', 0.0))
            if key == KEY and sent_at > self._removed_at + KEY_BOUND:
                self.broken.append(f'{attempt}: ran with a removed key')

        self._check_crashes()
        for server in (*self.front.servers.values(), *self.front.gone):
            self._check_leaving(server)
            if server.get_port() not in self._spoiled:
                self._check_rests(server)
        for limited in self._limited:
            if limited.server.get_port() not in self._spoiled:
                self._check_limit(limited)

    def _check_limit(self, limited: _Limited) -> None:
        """Hold what came from nodes that were told against the limit."""
        for process in tuple(limited.told):
            limited.excuse(process, time.monotonic())
        came = [
            at
            for at, attempt in limited.server.arrivals
            if limited.counts(self._asked.get(attempt), at)
        ]
        if count_most(came) > count_allowed(limited.limit):
            name = limited.server.name
            self.broken.append(f'{name}: over its limit {limited.limit}')

    def _check_leaving(self, server: Server) -> None:
        """Hold what came against what nodes had passed on before."""
        for _at, attempt in server.arrivals:
            told = (self._asked.get(attempt), server.name)
            sent_at = self._sent.get(attempt, ('', 0.0))[1]
            told_at = self._told_leaving.get(told, float('inf'))
            if sent_at > told_at + LEAVING_KNOWN_SECONDS:
                self.broken.append(f'{attempt}: sent to what leaves')

    def _check_rests(self, server: Server) -> None:
        """Hold what came against the rest that was asked for.

        A way that was cut or silent may have lost the wish.
        """
        for asked_at, seconds, attempt in server.rest_answers:
            node = self._asked.get(attempt)
            came = sum(
                asked_at + REST_KNOWN_SECONDS < at < asked_at + seconds
                and self._asked.get(other) is node
                for at, other in server.arrivals
            )
            if came > MOST_DURING_REST:
                told = f'{seconds} s of rest told to {attempt}'
                self.broken.append(f'{server.name}: {came} in {told}')

    def _note_second(self, attempt: str, run: dict[str, str]) -> None:
        if run.get('X-Path') == '/match/1':
            self.broken.append(f'{attempt}: ran twice')


def play_seed(seed: int, seconds: float, **shares: float) -> list[str]:
    """Play one seed; keep its folder only where a promise was broken."""
    folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    soak = Soak(seed, folder, **shares)
    broken = soak.run(seconds)
    print(f'seed={seed} ends={dict(soak.ends)} broken={broken or "none"}')  # noqa: T201
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
    """Play many seeds and tell which broke a promise."""
    failed = [
        seed
        for seed in range(first, first + seeds)
        if play_seed(
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
