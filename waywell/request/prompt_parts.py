"""Parts of a prompt that a request names and that others may share."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from waywell.ids import PromptPart, Trait

if TYPE_CHECKING:
    from collections.abc import Collection

MAX_PARTS = 32
"""Maximum number of shared parts recorded for one request."""

_PREFIX = 'part-'
"""Distinguishes the name of a part from the fingerprint of a request."""

_PART_ID = re.compile('[0-9a-f]{1,32}')


def decode_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    """Return the shared parts of a prompt, each once, in order.

    The last part belongs to the request or its session and is left out.
    Malformed entries are skipped, as they say nothing of the prompt.

    Parameters
    ----------
    text
        Parts as ``ID:TOKENS`` separated by commas, the id in hex.
    """
    entries = [entry for entry in text.split(',') if entry.strip()]
    ids = dict.fromkeys(
        entry.partition(':')[0].strip().lower() for entry in entries[:-1]
    )
    named = [one for one in ids if _PART_ID.fullmatch(one)]
    return tuple(
        PromptPart(Trait(f'{_PREFIX}{one}')) for one in named[:MAX_PARTS]
    )


def describe_trait(trait: Trait) -> dict[str, str]:
    """Return what log lines tell of a trait."""
    if is_prompt_part(trait):
        return {'prompt_part': trait.removeprefix(_PREFIX)}
    return {'fingerprint': trait}


def count_requests(traits: Collection[Trait]) -> int:
    """Return how many of some traits are requests and no parts of prompts."""
    return len(traits) - sum(map(is_prompt_part, traits))


def is_prompt_part(trait: Trait) -> bool:
    """Answer whether a trait is a part of a prompt."""
    return trait.startswith(_PREFIX)
