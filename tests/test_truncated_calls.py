"""Tests that the store client never accepts a truncated answer."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from returns.result import Failure, Result, Success

from waywell.connection.http_client import HttpResponse
from waywell.connection.http_platform import HttpPlatform
from waywell.connection.platform import Kind, PlatformFault
from waywell.platform.objects import decode_page

STORED = json.dumps(
    {'kind': 'box', 'name': 'a', 'version': 3, 'body': {'x': 1}}
).encode()

CHANGES = json.dumps(
    {'revision': 7, 'objects': [json.loads(STORED)], 'complete': True}
).encode()

PAGE = json.dumps(
    {
        'items': [
            {'metadata': {'name': name, 'revision': 5}, 'spec': {}}
            for name in ('a', 'b')
        ],
        'has_more': False,
        'current_rev': 9,
    }
).encode()


class _FixedClient:
    """HTTP client that returns the same body for each request."""

    def __init__(self, raw: bytes) -> None:
        self._raw = raw

    async def call(self, *_args: Any, **_kwargs: Any) -> Result:
        return Success(HttpResponse(200, self._raw))


def make_platform(monkeypatch: pytest.MonkeyPatch, raw: bytes) -> HttpPlatform:
    platform = HttpPlatform('http://127.0.0.1:1', 1.0)
    monkeypatch.setattr(platform, '_calls', _FixedClient(raw))
    return platform


def test_a_truncated_object_counts_as_no_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for end in range(len(STORED)):
        platform = make_platform(monkeypatch, STORED[:end])
        fetched = asyncio.run(platform.fetch(Kind.BOX, 'a'))
        assert fetched == Failure(PlatformFault.UNANSWERED)
        written = asyncio.run(platform.write(Kind.BOX, 'a', {}, 2))
        assert written == Failure(PlatformFault.UNANSWERED)


def test_a_truncated_list_counts_as_no_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for end in range(len(CHANGES)):
        platform = make_platform(monkeypatch, CHANGES[:end])
        listed = asyncio.run(platform.fetch_all(Kind.BOX))
        assert listed == Failure(PlatformFault.UNANSWERED)


def test_a_truncated_page_is_rejected() -> None:
    assert len(decode_page(PAGE).objects) == 2
    for end in range(len(PAGE)):
        with pytest.raises(ValueError, match='.'):
            decode_page(PAGE[:end])
