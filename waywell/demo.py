"""End-to-end demo: ``python -m waywell.demo``.

The demo starts two entry boxes, a stand-in for the platform and stand-ins for
targets as separate processes, and applies a configuration with the command
line.  A caller receives streamed answers through both entry boxes.  Then a box
is killed, its group goes out of service, and the box and its group return.
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
"""Template of the configuration, with gaps for the key hashes."""

NOTE_PATH = '/services/cataloguer-llm/v1/chat/completions'
"""Path of the streamed request."""


def print_line(text: str) -> None:
    """Print a line of progress and flush it."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def request_note(caller: CallerClient, entry: int = 0) -> Answer:
    """Send a request for a streamed answer of eight tokens.

    Parameters
    ----------
    caller
        Client that sends the request.
    entry
        Index of the entry box in the client's entry list.
    """
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
    """Run all steps of the demo; return the exit code."""
    for number in (1, 2):
        name = f'box-{number}'
        bench.start_box(BoxSpec(name, labels={'pool': 'notes'}))
        print_line(f'box {name} is on the box list')
    for number in (1, 2):
        bench.start_entry(f'entry-{number}')
        print_line(f'entry box entry-{number} is listening')
    if apply_configuration(bench, folder):
        return 1
    bench.wait_serving('entry-1', 'notes', 1)
    bench.wait_serving('entry-2', 'notes', 1)
    print_line('both entry boxes report that the group of two boxes serves')
    caller = bench.get_caller('entry-1')
    caller.refresh()
    print_line(f'a caller fetched the entry list: {" ".join(caller.entries)}')
    for entry in range(2):
        answer = request_note(caller, entry)
        lines = answer.body.decode().count('data: ')
        print_line(
            f'through {caller.entries[entry]}: {answer.status}, {lines} events'
        )
    return kill_and_restart_box(bench, caller)


def kill_and_restart_box(bench: Bench, caller: CallerClient) -> int:
    """Kill a box, wait until its group is out of service, restart the box.

    Return the highest exit code of the entry boxes.
    """
    bench.targets['box-2'].kill()
    print_line('box-2 was killed; the box list still shows it as live')
    refused = wait_until(
        lambda: _expect_status(caller, 503),
        'the group to go out of service',
    )
    print_line(f'a request is refused: {refused.read_json()["name"]}, not run')
    bench.set_box_state('box-2', 'lost')
    bench.start_box(BoxSpec('box-2', labels={'pool': 'notes'}))
    print_line('box-2 has restarted; its group is being formed again')
    wait_until(lambda: _expect_status(caller, 200), 'the group to serve again')
    bench.wait_serving('entry-1', 'notes', 1)
    status = bench.read_status('entry-1')['group_sets']['notes']
    print_line(
        f'the group serves; downtime so far: {status["downtime_seconds"]} s'
    )
    for process in bench.entries.values():
        process.send_signal(signal.SIGTERM)
    codes = [process.wait() for process in bench.entries.values()]
    print_line(f'entry boxes stopped gracefully with exit codes {codes}')
    return max(codes)


def _expect_status(caller: CallerClient, status: int) -> Answer | None:
    answer = request_note(caller)
    return answer if answer.status == status else None


def main() -> int:
    """Run the demo in a temporary folder."""
    with tempfile.TemporaryDirectory(prefix='waywell-demo-') as folder:
        with Bench(Path(folder)) as bench:
            return run_demo(bench, Path(folder))


if __name__ == '__main__':
    sys.exit(main())
