"""Names of the platform's protocol are used in its adapter only."""

from __future__ import annotations

import re
from pathlib import Path

import waywell

PACKAGE = Path(waywell.__file__).parent
ADAPTER = PACKAGE / 'platform'

WIRE_NAMES = re.compile(
    r'x-request-attempt-id|x-expect-replica|x-not-executed|x-replica-stamp'
    r'|x-deadline-ms|x-token-count|x-prompt-prefix|x-length-hint|x-tenant'
    r'|x-request-priority|x-expect-version|x-weight-versions|last-event-id'
    r'|waywell_boot|/api/(objects|order|report|resolve|ready)'
    r'|serializable|wait_ms|since_rev|current_rev|has_more|expect_rev'
    r'|max_attempts|latency_goal|path_prefix|api_keys|kv_capacity'
    r'|loads_at_once_ms|ttl_s|seq_no',
    re.IGNORECASE,
)


def test_no_wire_name_is_used_outside_the_adapter() -> None:
    found = [
        f'{path.relative_to(PACKAGE)}:{number}: {line.strip()}'
        for path in sorted(PACKAGE.rglob('*.py'))
        if ADAPTER not in path.parents
        for number, line in enumerate(
            path.read_text(encoding='utf-8').splitlines(), 1
        )
        if WIRE_NAMES.search(line)
    ]
    assert not found


def test_no_module_outside_the_adapter_refers_to_it() -> None:
    referring = [
        str(path.relative_to(PACKAGE))
        for path in sorted(PACKAGE.rglob('*.py'))
        if ADAPTER not in path.parents
        and 'waywell.platform' in path.read_text(encoding='utf-8')
    ]
    assert not referring


def test_the_pattern_matches_a_wire_name() -> None:
    assert WIRE_NAMES.search("HEADER = 'X-Expect-Replica'")
