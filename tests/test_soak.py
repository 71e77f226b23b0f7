"""Short soak runs with seed 1 and with the seeds that failed before."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.soak import PROMPT_SHARE, Soak

SECONDS = 6.0
"""Duration of the faults; the promises hold for any duration."""

FAILED_SEEDS: dict[int, str] = {
    104: 'the final check used a key that no version of the run contained',
    408: 'a failure of the second replica ended a begun stream as complete',
    411: 'a failure of the second replica ended a begun stream as complete',
}
"""Seeds that failed before, each with its cause."""


@pytest.mark.parametrize('seed', [1, *FAILED_SEEDS])
def test_no_promise_is_broken_under_random_faults(
    seed: int,
    tmp_path: Path,
) -> None:
    assert not Soak(seed, tmp_path).run(SECONDS)


def test_a_crashing_prompt_part_is_stopped_under_random_faults(
    tmp_path: Path,
) -> None:
    assert not Soak(1, tmp_path, prompt_share=PROMPT_SHARE).run(2 * SECONDS)
