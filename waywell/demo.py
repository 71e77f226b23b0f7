"""The main job from end to end: ``python -m waywell.demo``.

Two entry boxes, a platform stand-in and target stand-ins as processes of
their own; a configuration applied by the command line; a caller that
gets its streamed answer; a box killed, the group out of service and back.
"""

from __future__ import annotations

import os
import signal
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

from waywell.cli import ADMIN_VARIABLE, KEY_VARIABLE, run_command
from waywell.standins.harness import (
    CALLER_KEY,
    OPERATOR_KEY,
    Bench,
    BoxSpec,
    hash_text,
    wait_until,
)

if TYPE_CHECKING:
    from waywell.client import Answer, CallerClient

CONFIGURATION = """
[[service]]
name = "cataloguer-llm"
model = "notes-7b"

[[group_set]]
name = "notes"
service = "cataloguer-llm"
boxes.match = {{ pool = ["notes"] }}
boxes_per_group = 2
groups = 1

[[serving]]
name = "shops"
groups.match = {{ group_set = ["notes"] }}
accounts.match = {{ tier = ["shop"] }}

[[account]]
name = "lafleur"
labels = {{ tier = "shop" }}
key_hashes = ["{caller}"]

[[operator]]
name = "on-call"
key_hashes = ["{operator}"]

[goal]
pause_seconds = 20.0
load_seconds = 60.0
"""
"""A first configuration; the hashes are filled in."""

NOTE_PATH = '/services/cataloguer-llm/v1/chat/completions'
"""A streamed request."""


def say(text: str) -> None:
    """Print a line."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def ask_note(caller: CallerClient, entry: int = 0) -> Answer:
    """Ask for a condition note of a few tokens."""
    return caller.call(
        NOTE_PATH,
        'POST',
        b'{"messages": [{"role": "user", "content": "condition?"}]}',
        {'standin-tokens': '8'},
        entry,
    )


def apply_configuration(bench: Bench, folder: Path) -> int:
    """Apply the configuration with the command line."""
    file = folder / 'first.toml'
    file.write_text(
        CONFIGURATION.format(
            caller=hash_text(CALLER_KEY),
            operator=hash_text(OPERATOR_KEY),
        ),
    )
    port = bench.entries['entry-1'].ports['admin_port']
    os.environ[ADMIN_VARIABLE] = f'http://127.0.0.1:{port}'
    os.environ[KEY_VARIABLE] = OPERATOR_KEY
    return run_command(['apply', f'--file={file}'])


def run_demo(bench: Bench, folder: Path) -> int:
    """Run the path; return the exit code."""
    for number in (1, 2):
        name = f'box-{number}'
        bench.start_box(BoxSpec(name, labels={'pool': 'notes'}))
        say(f'box {name} is on the box list')
    for number in (1, 2):
        bench.start_entry(f'entry-{number}')
        say(f'entry box entry-{number} listens')
    if apply_configuration(bench, folder):
        return 1
    bench.wait_serving('entry-1', 'notes', 1)
    bench.wait_serving('entry-2', 'notes', 1)
    say('the group of two boxes serves, as both entry boxes see it')
    caller = bench.get_caller('entry-1')
    caller.refresh()
    say(f'a caller asked for the entry list: {" ".join(caller.entries)}')
    for entry in range(2):
        answer = ask_note(caller, entry)
        lines = answer.body.decode().count('data: ')
        say(
            f'through {caller.entries[entry]}: {answer.status}, {lines} events'
        )
    return kill_and_return(bench, caller)


def kill_and_return(bench: Bench, caller: CallerClient) -> int:
    """Kill a box, see the group out of service, bring the box back."""
    bench.targets['box-2'].kill()
    say('box-2 is killed; the box list does not know yet')
    refused = wait_until(
        lambda: _ask_until(caller, 503),
        'the group to be out of service',
    )
    say(f'a request is refused: {refused.read_json()["name"]}, not run')
    bench.set_box_state('box-2', 'lost')
    bench.start_box(BoxSpec('box-2', labels={'pool': 'notes'}))
    say('box-2 is back with a new start; the group is formed again')
    wait_until(lambda: _ask_until(caller, 200), 'the group to be back')
    bench.wait_serving('entry-1', 'notes', 1)
    status = bench.read_status('entry-1')['group_sets']['notes']
    say(f'the group serves; downtime so far: {status["downtime_seconds"]} s')
    for process in bench.entries.values():
        process.send_signal(signal.SIGTERM)
    codes = [process.wait() for process in bench.entries.values()]
    say(f'entry boxes stopped gracefully, exit codes {codes}')
    return max(codes)


def _ask_until(caller: CallerClient, status: int) -> Answer | None:
    answer = ask_note(caller)
    return answer if answer.status == status else None


def main() -> int:
    """Run the demo in a folder that goes away."""
    with tempfile.TemporaryDirectory(prefix='waywell-demo-') as folder:
        with Bench(Path(folder)) as bench:
            return run_demo(bench, Path(folder))


if __name__ == '__main__':
    sys.exit(main())
