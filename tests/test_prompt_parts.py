"""Decoding of the prompt parts header."""

from __future__ import annotations

import pytest

from waywell.request.prompt_parts import (
    MAX_PARTS,
    count_requests,
    decode_prompt_parts,
    is_prompt_part,
)


@pytest.mark.parametrize(
    ('text', 'parts'),
    [
        ('5c1e07a2:800,91bd3f06:410,e4402b7d:250', ['5c1e07a2', '91bd3f06']),
        ('5C1E07A2:800, 91bd3f06 :410 ,e4:1', ['5c1e07a2', '91bd3f06']),
        ('5c1e07a2:800,5c1e07a2:800,e4402b7d:250', ['5c1e07a2']),
        ('5c1e07a2,e4402b7d', ['5c1e07a2']),
        ('5c1e07a2:800,e4402b7d:250,', ['5c1e07a2']),
        ('e4402b7d:250', []),
        ('', []),
        (',,:,', []),
        ('xyz:1,5c:2,:3,é:4,e4:5', ['5c']),
        ('f' * 33 + ':1,5c:2,e4:5', ['5c']),
    ],
)
def test_all_valid_parts_but_the_last_are_decoded(
    text: str, parts: list[str]
) -> None:
    assert decode_prompt_parts(text) == tuple(f'part-{part}' for part in parts)


def test_number_of_parts_is_bounded() -> None:
    text = ','.join(f'{number:x}:1' for number in range(10_000))
    parts = decode_prompt_parts(text)
    assert len(parts) == MAX_PARTS
    assert all(is_prompt_part(part) for part in parts)


def test_prompt_parts_are_not_counted_as_requests() -> None:
    assert count_requests(['a1', 'part-5c', 'b2', 'part-91']) == 2
