"""Answers of the directory endpoint."""

from __future__ import annotations

import json

from waywell.platform.endpoints import (
    MAX_ADDRESSES,
    RESOLVE_PATH,
    make_directory_handlers,
)


def test_an_entry_list_is_limited_to_what_clients_read() -> None:
    addresses = [f'10.0.0.{number}:80' for number in range(MAX_ADDRESSES + 9)]
    handlers = make_directory_handlers(lambda _hall: addresses, 2.0)
    answer = handlers[RESOLVE_PATH]({'zone': 'hall-a'})
    body = json.loads(answer.raw)
    assert body['addresses'] == addresses[:MAX_ADDRESSES]
    assert body['ttl_s'] == 2.0


def test_a_node_that_knows_no_entry_box_is_unavailable() -> None:
    handlers = make_directory_handlers(lambda _hall: [], 2.0)
    assert handlers[RESOLVE_PATH]({}).status == 503
