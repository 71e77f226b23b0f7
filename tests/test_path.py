"""Requests from callers through entry boxes to targets, as real processes."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from waywell.standins.harness import Bench

CHAT = '/services/llm/v1/chat/completions'


def test_a_streamed_answer_is_complete_through_each_entry_box(
    pair: Bench,
) -> None:
    caller = pair.get_caller('entry-1')
    caller.refresh()
    assert len(caller.entries) == 2
    for entry in range(2):
        answer = caller.call(
            CHAT,
            'POST',
            b'{"n": 1}',
            {'standin-tokens': '7'},
            entry,
        )
        assert answer.status == 200
        assert answer.body.count(b'"token"') == 7
        assert answer.body.endswith(b'data: [DONE]\n\n')


def test_body_and_query_are_forwarded_unchanged(pair: Bench) -> None:
    body = bytes(range(256)) * 300
    caller = pair.get_caller('entry-2')
    answer = caller.call('/services/app/stock/a%2Fb?x=1&x=2', 'POST', body)
    received = answer.read_json()
    assert received['sha256'] == hashlib.sha256(body).hexdigest()
    assert received['path'] == '/stock/a%2Fb?x=1&x=2'


def test_keys_of_callers_are_not_logged_or_dumped(pair: Bench) -> None:
    caller = pair.get_caller('entry-1', key='wrong')
    answer = caller.call('/services/app/price')
    assert answer.status == 401
    assert answer.headers['waywell-code'] == '1006'
    assert answer.headers['waywell-ran'] == 'not_run'
    logs = ''.join(path.read_text() for path in pair.folder.glob('*.log'))
    assert 'caller-key' not in logs
    dump = pair.get_admin('entry-1').call('GET', '/v1/dump').body
    assert b'caller-key' not in dump
    assert b'operator-key' not in dump
