"""Validation of configurations, which reports every fault."""

from __future__ import annotations

from typing import Any

import pytest

from waywell.standins.harness import make_configuration
from waywell.version.configuration import (
    check_configuration,
    make_configuration_entries,
    parse_configuration,
)
from waywell.version.document import Document
from waywell.version.input_validation import InvalidInputError
from waywell.version.toml_text import read_toml


def list_faults(raw: Any) -> tuple[str, ...]:
    with pytest.raises(InvalidInputError) as caught:
        check_configuration(raw, 'f')
    return caught.value.faults


def test_a_configuration_survives_the_conversion_to_entries() -> None:
    configuration = check_configuration(make_configuration(), 'f')
    entries = make_configuration_entries(configuration)
    parsed = parse_configuration(Document(1, entries))
    assert make_configuration_entries(parsed) == entries
    assert parsed.goal == configuration.goal
    assert set(entries) == {
        'service/llm',
        'service/app',
        'group_set/llm-main',
        'group_set/app-main',
        'serving/all',
        'account/desk',
        'operator/ops',
        'goal/goal',
    }


def test_all_faults_are_reported_with_their_places() -> None:
    faults = list_faults(
        {
            'service': [{'name': 'a', 'typ': 'x'}, {'name': 3}],
            'group_set': [{'name': 'g', 'service': 'a', 'groups': True}],
            'acount': [],
        },
    )
    assert 'f.service[0].typ: unknown key; nearest known key: type' in faults
    assert 'f.service[1].name: 3 is not of type str' in faults
    assert 'f.group_set[0].groups: True is not of type int' in faults
    assert 'f.acount: unknown key; nearest known key: account' in faults


@pytest.mark.parametrize(
    ('raw', 'fault'),
    [
        ({'service': [{}]}, 'f.service[0].name: missing'),
        (
            {'service': [{'name': 'a'}, {'name': 'a'}]},
            "f.service: duplicate name 'a'",
        ),
        (
            {'group_set': [{'name': 'g', 'service': 'no'}]},
            'f.group_set.g.service: must be one of the services []',
        ),
        (
            {'account': [{'name': 'x', 'key_hashes': ['abc']}]},
            'f.account.x.key_hashes: must be 64 hex digits',
        ),
        (
            {
                'service': [{'name': 'a'}],
                'group_set': [
                    {'name': 'g', 'service': 'a', 'boxes_per_group': 0},
                ],
            },
            'f.group_set.g.boxes_per_group: must be at least 1',
        ),
        (
            {'service': [{'name': 'a', 'type': 'modl'}]},
            "f.service[0].type: 'modl' is not one of ['model', 'plain']",
        ),
    ],
)
def test_an_invalid_configuration_reports_the_fault(
    raw: dict, fault: str
) -> None:
    assert fault in list_faults(raw)


def test_an_invalid_toml_text_reports_the_line() -> None:
    with pytest.raises(InvalidInputError, match='line 2'):
        read_toml('a = 1\nb = ]\nc = 2', 'f.toml')
