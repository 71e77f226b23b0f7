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
"""The order was refused."""

EXIT_FAULTS = 2
"""Input has faults."""

EXIT_UNKNOWN = 3
"""Whether the order took effect is not known."""

EXIT_UNREACHABLE = 4
"""The entry box was not reached."""

KEY_VARIABLE = 'WAYWELL_KEY'
"""Environment variable with the operator's key."""

ADMIN_VARIABLE = 'WAYWELL_ADMIN'
"""Environment variable with the address of an administration port."""

STANDARD_INPUT = '-'
"""File name of the standard input."""


class CommandError(Exception):
    """A command ends with an exit code.

    Parameters
    ----------
    status
        Exit code.
    text
        What to say.
    """

    def __init__(self, status: int, text: str) -> None:
        """Keep the code."""
        super().__init__(text)
        self.status = status


class Commands:
    """Starts entry daemons and talks to them.

    The administration port is given by ``--admin`` or WAYWELL_ADMIN, the
    operator's key by WAYWELL_KEY.
    """

    @property
    def experiment(self) -> ExperimentCommands:
        """Judge policies on a model of the fleet."""
        # Nothing else needs the model.
        from waywell.experiment.commands import (  # noqa: PLC0415
            ExperimentCommands,
        )

        return ExperimentCommands()

    def start(self, settings: str) -> None:
        """Run an entry daemon with the settings of a TOML file."""
        # Tools that only talk to a daemon need none of this.
        from waywell.daemon import run_entry  # noqa: PLC0415
        from waywell.process.settings import load_settings  # noqa: PLC0415

        fault = run_entry(load_settings(settings))
        if fault:
            raise CommandError(EXIT_REFUSED, f'cannot start: {fault}')

    def check(self, settings: str = '', configuration: str = '') -> str:
        """Check a settings file, a configuration file, or both."""
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
        """Replace the configuration by a TOML file or standard input.

        With ``--expected`` only that version is replaced.  Repeat with
        the same ``--operation`` when the outcome was unknown.
        """
        raw = _load_configuration(file)
        path = f'/v1/configuration?expected={expected}&operation={operation}'
        return _show(_call(admin, 'PUT', path, raw))

    def get(
        self,
        what: str = 'configuration',
        label: str = '',
        admin: str = '',
    ) -> str:
        """Show ``configuration``, ``groups`` or ``boxes``.

        ``--label=key:value,key:value`` filters.
        """
        labels = '&'.join(f'label={pair}' for pair in label.split(',') if pair)
        return _show(_call(admin, 'GET', f'/v1/{what}?{labels}'))

    def explain(
        self,
        service: str,
        account: str,
        kind: str = 'default',
        admin: str = '',
        **session_labels: str,
    ) -> str:
        """Show why a request goes to which group, or to none."""
        question = {
            'service': service,
            'account': account,
            'kind': kind,
            'session_labels': session_labels,
        }
        return _show(_call(admin, 'POST', '/v1/explain', question))

    def relabel(self, select: str, labels: str, admin: str = '') -> str:
        """Set labels on boxes: ``--select=key:value --labels=key:value``.

        An empty value removes a label.
        """
        match: dict[str, list[str]] = {}
        for key, wanted in _split_pairs(select):
            match.setdefault(key, []).append(wanted)
        order = {
            'boxes': {'match': match},
            'labels': dict(_split_pairs(labels)),
        }
        return _show(_call(admin, 'POST', '/v1/boxes/labels', order))

    def route(
        self,
        host: str,
        path: str,
        model: str = '',
        admin: str = '',
    ) -> str:
        """Show where a front daemon may send a request, and why.

        For a front daemon, ``--admin`` names its metrics port.
        """
        query = urlencode({'host': host, 'path': path, 'model': model})
        return _show(_call(admin, 'GET', f'/v1/route?{query}'))

    def status(self, admin: str = '') -> str:
        """Show groups, downtime, stranded accelerators and versions."""
        return _show(_call(admin, 'GET', '/v1/status'))

    def report(
        self, journal: str = 'journal', out: str = 'report.html'
    ) -> str:
        """Draw a page of charts from a journal of played days.

        Needs the optional extra ``waywell[report]``.
        """
        # Only this command needs the plotting library.
        from waywell.report.entries import read_journal  # noqa: PLC0415
        from waywell.report.page import make_page  # noqa: PLC0415

        entries = read_journal(Path(journal))
        if not entries:
            raise CommandError(EXIT_FAULTS, f'{journal}: no entries there')
        Path(out).write_text(make_page(entries), encoding='utf-8')
        return f'{out}: {len(entries)} runs'

    def dump(self, admin: str = '') -> str:
        """Show the state of an entry daemon."""
        return _show(_call(admin, 'GET', '/v1/dump'))


def _split_pairs(text: str) -> list[tuple[str, str]]:
    pairs = []
    for word in str(text).split(','):
        key, mark, wanted = word.partition(':')
        if not mark:
            raise CommandError(EXIT_FAULTS, f'{word!r}: use key:value')
        pairs.append((key, wanted))
    return pairs


def _load_configuration(file: str) -> dict[str, Any]:
    if file == STANDARD_INPUT:
        place, text = 'standard input', sys.stdin.read()
    else:
        place, text = file, read_text(file)
    raw = read_toml(text, place)
    check_configuration(raw, place)
    return raw


def _call(admin: str, method: str, path: str, body: Any = None) -> Answer:
    url = admin or os.environ.get(ADMIN_VARIABLE, '')
    if not url:
        text = f'name an administration port: --admin or {ADMIN_VARIABLE}'
        raise CommandError(EXIT_FAULTS, text)
    client = AdminClient(url, os.environ.get(KEY_VARIABLE, ''))
    answer = client.call(method, path, body)
    if answer.status == HTTPStatus.OK:
        return answer
    if not answer.body:
        # A front daemon takes no orders: operators write to the platform.
        text = f'{method} {path}: {answer.status}, no such call there'
        raise CommandError(EXIT_REFUSED, text)
    refusal = answer.read_json()
    unknown = refusal['code'] == Code.OUTCOME_UNKNOWN
    raise CommandError(
        EXIT_UNKNOWN if unknown else EXIT_REFUSED,
        f'{refusal["code"]} {refusal["name"]}: '
        f'{refusal["text"]} {refusal["detail"]}',
    )


def _show(answer: Answer) -> str:
    return json.dumps(answer.read_json(), indent=2, sort_keys=True)


def run_command(words: list[str]) -> int:
    """Run a command; return its exit code."""
    try:
        fire.Fire(Commands(), command=words, name='waywell')
    except CommandError as error:
        return _complain(str(error), error.status)
    except InvalidInputError as error:
        return _complain(str(error), EXIT_FAULTS)
    except UnreachableError as error:
        return _complain(str(error), EXIT_UNREACHABLE)
    return 0


def _complain(text: str, status: int) -> int:
    sys.stderr.write(f'waywell: {text}\n')
    return status


def main() -> None:
    """Run the command line and exit."""
    sys.exit(run_command(sys.argv[1:]))


if __name__ == '__main__':
    main()
