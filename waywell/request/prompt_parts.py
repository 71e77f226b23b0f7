"""Parts of prompts that requests name and may share with each other."""

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
    Malformed entries are skipped, as they do not identify a part.

    Parameters
    ----------
    text
        Parts as ``ID:TOKENS`` separated by commas, the id in hex.
    """
    entries = [entry for entry in text.split(',') if entry.strip()]
    ids = dict.fromkeys(
        entry.partition(':')[0].strip().lower() for entry in entries[:-1]
    )
    valid = [part_id for part_id in ids if _PART_ID.fullmatch(part_id)]
    return tuple(
        PromptPart(Trait(f'{_PREFIX}{part_id}'))
        for part_id in valid[:MAX_PARTS]
    )


def describe_trait(trait: Trait) -> dict[str, str]:
    """Return the log fields that identify a trait."""
    if is_prompt_part(trait):
        return {'prompt_part': trait.removeprefix(_PREFIX)}
    return {'fingerprint': trait}


def count_requests(traits: Collection[Trait]) -> int:
    """Return the number of traits that are requests, not prompt parts."""
    return len(traits) - sum(map(is_prompt_part, traits))


def is_prompt_part(trait: Trait) -> bool:
    """Return whether a trait is a part of a prompt."""
    return trait.startswith(_PREFIX)
