"""The ``waywell`` command line."""

from __future__ import annotations

import json
import os
import sys
from http import HTTPStatus
from pathlib import Path
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

import fire

from waywell.client import AdminClient, Answer, UnreachableError
from waywell.codes import Code
from waywell.version.configuration import (
    check_configuration,
)
from waywell.version.input_validation import InvalidInputError
from waywell.version.toml_text import read_text, read_toml

if TYPE_CHECKING:
    from waywell.experiment.commands import ExperimentCommands

EXIT_REFUSED = 1
"""Exit code if the daemon refused the call or could not start."""

EXIT_FAULTS = 2
"""Exit code if the arguments or input files are invalid."""

EXIT_UNKNOWN = 3
"""Exit code if it is unknown whether a change took effect."""

EXIT_UNREACHABLE = 4
"""Exit code if the entry box could not be reached."""

KEY_VARIABLE = 'WAYWELL_KEY'
"""Environment variable that holds the operator's key."""

ADMIN_VARIABLE = 'WAYWELL_ADMIN'
"""Environment variable that holds the URL of an administration port."""

STANDARD_INPUT = '-'
"""File name that stands for standard input."""


class CommandError(Exception):
    """Failure of a command with a message and an exit code.

    Parameters
    ----------
    status
        Exit code of the process.
    text
        Message for standard error.
    """

    def __init__(self, status: int, text: str) -> None:
        """Store the message and the exit code."""
        super().__init__(text)
        self.status = status


class Commands:
    """Start and administer entry daemons.

    Set the URL of the administration port with ``--admin`` or WAYWELL_ADMIN,
    and the operator's key with WAYWELL_KEY.
    """

    @property
    def experiment(self) -> ExperimentCommands:
        """Evaluate policies in a simulation of the fleet."""
        # Imported here because no other command needs the simulation.
        from waywell.experiment.commands import (  # noqa: PLC0415
            ExperimentCommands,
        )

        return ExperimentCommands()

    def start(self, settings: str) -> None:
        """Run an entry daemon with settings from a TOML file."""
        # Imported here because commands that only call a daemon don't need it.
        from waywell.daemon import run_entry  # noqa: PLC0415
        from waywell.process.settings import load_settings  # noqa: PLC0415

        fault = run_entry(load_settings(settings))
        if fault:
            raise CommandError(EXIT_REFUSED, f'cannot start: {fault}')

    def check(self, settings: str = '', configuration: str = '') -> str:
        """Validate a settings file, a configuration file, or both."""
        from waywell.process.settings import load_settings  # noqa: PLC0415

        if settings:
            load_settings(settings)
        if configuration:
            _load_configuration(configuration)
        return 'no faults'

    def apply(
        self,
        file: str = STANDARD_INPUT,
        expected: int = -1,
        operation: str = '',
        admin: str = '',
    ) -> str:
        """Replace the configuration with a TOML file or standard input.

        With ``--expected``, only that version is replaced.  If the outcome
        is unknown, retry with the same ``--operation``.
        """
        raw = _load_configuration(file)
        path = f'/v1/configuration?expected={expected}&operation={operation}'
        return _format_answer(_call_admin(admin, 'PUT', path, raw))

    def get(
        self,
        what: str = 'configuration',
        label: str = '',
        admin: str = '',
    ) -> str:
        """Show the ``configuration``, ``groups`` or ``boxes``.

        ``--label=key:value,key:value`` selects objects by their labels.
        """
        labels = '&'.join(f'label={pair}' for pair in label.split(',') if pair)
        return _format_answer(
            _call_admin(admin, 'GET', f'/v1/{what}?{labels}')
        )

    def explain(
        self,
        service: str,
        account: str,
        kind: str = 'default',
        admin: str = '',
        **session_labels: str,
    ) -> str:
        """Show to which groups a request would be routed, and why."""
        question = {
            'service': service,
            'account': account,
            'kind': kind,
            'session_labels': session_labels,
        }
        return _format_answer(
            _call_admin(admin, 'POST', '/v1/explain', question)
        )

    def relabel(self, select: str, labels: str, admin: str = '') -> str:
        """Set labels on boxes: ``--select=key:value --labels=key:value``.

        A label with an empty value is removed.
        """
        match: dict[str, list[str]] = {}
        for key, label in _split_pairs(select):
            match.setdefault(key, []).append(label)
        order = {
            'boxes': {'match': match},
            'labels': dict(_split_pairs(labels)),
        }
        return _format_answer(
            _call_admin(admin, 'POST', '/v1/boxes/labels', order)
        )

    def route(
        self,
        host: str,
        path: str,
        model: str = '',
        admin: str = '',
    ) -> str:
        """Show to which replicas a front daemon may send a request, and why.

        Set ``--admin`` to the URL of the front daemon's metrics port.
        """
        query = urlencode({'host': host, 'path': path, 'model': model})
        return _format_answer(_call_admin(admin, 'GET', f'/v1/route?{query}'))

    def status(self, admin: str = '') -> str:
        """Show groups, downtime, stranded accelerators and node versions."""
        return _format_answer(_call_admin(admin, 'GET', '/v1/status'))

    def report(
        self, journal: str = 'journal', out: str = 'report.html'
    ) -> str:
        """Write a page of charts from a journal of benchmark runs.

        Requires the optional extra ``waywell[report]``.
        """
        # Imported here because only this command needs the plotting library.
        from waywell.report.entries import read_journal  # noqa: PLC0415
        from waywell.report.page import make_page  # noqa: PLC0415

        entries = read_journal(Path(journal))
        if not entries:
            raise CommandError(EXIT_FAULTS, f'{journal}: contains no entries')
        Path(out).write_text(make_page(entries), encoding='utf-8')
        return f'{out}: {len(entries)} runs'

    def dump(self, admin: str = '') -> str:
        """Show the internal state of an entry daemon."""
        return _format_answer(_call_admin(admin, 'GET', '/v1/dump'))


def _split_pairs(text: str) -> list[tuple[str, str]]:
    pairs = []
    for pair in str(text).split(','):
        key, separator, label = pair.partition(':')
        if not separator:
            raise CommandError(EXIT_FAULTS, f'{pair!r}: must be key:value')
        pairs.append((key, label))
    return pairs


def _load_configuration(file: str) -> dict[str, Any]:
    if file == STANDARD_INPUT:
        place, text = 'standard input', sys.stdin.read()
    else:
        place, text = file, read_text(file)
    raw = read_toml(text, place)
    check_configuration(raw, place)
    return raw


def _call_admin(
    admin: str, method: str, path: str, body: Any = None
) -> Answer:
    url = admin or os.environ.get(ADMIN_VARIABLE, '')
    if not url:
        text = f'no administration port: set --admin or {ADMIN_VARIABLE}'
        raise CommandError(EXIT_FAULTS, text)
    client = AdminClient(url, os.environ.get(KEY_VARIABLE, ''))
    answer = client.call(method, path, body)
    if answer.status == HTTPStatus.OK:
        return answer
    if not answer.body:
        # A front daemon has no calls for changes: operators write to the
        # platform.
        text = f'{method} {path}: {answer.status}, not supported by the daemon'
        raise CommandError(EXIT_REFUSED, text)
    refusal = answer.read_json()
    unknown = refusal['code'] == Code.OUTCOME_UNKNOWN
    raise CommandError(
        EXIT_UNKNOWN if unknown else EXIT_REFUSED,
        f'{refusal["code"]} {refusal["name"]}: '
        f'{refusal["text"]} {refusal["detail"]}',
    )


def _format_answer(answer: Answer) -> str:
    return json.dumps(answer.read_json(), indent=2, sort_keys=True)


def run_command(arguments: list[str]) -> int:
    """Run a command and return its exit code."""
    try:
        fire.Fire(Commands(), command=arguments, name='waywell')
    except CommandError as error:
        return _report_error(str(error), error.status)
    except InvalidInputError as error:
        return _report_error(str(error), EXIT_FAULTS)
    except UnreachableError as error:
        return _report_error(str(error), EXIT_UNREACHABLE)
    return 0


def _report_error(text: str, status: int) -> int:
    sys.stderr.write(f'waywell: {text}\n')
    return status


def main() -> None:
    """Run the command in the process's arguments and exit."""
    sys.exit(run_command(sys.argv[1:]))


if __name__ == '__main__':
    main()
