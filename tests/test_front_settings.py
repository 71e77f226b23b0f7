"""Settings of a front daemon, in the form of the platform's template."""

from __future__ import annotations

import pytest

from waywell.process.front_settings import check_front_settings
from waywell.version.input_validation import InvalidInputError

TEXT = """
[node]
name = "entry-1"
hall = "h"
region = "r"
host = "127.0.0.1"
callers = "127.0.0.1:9000"
readiness = "127.0.0.1:9001"
directory = "127.0.0.1:9002"
peers = "127.0.0.1:9003"
metrics_port = 9464

[store]
address = "127.0.0.1:9100"
"""


def test_serving_with_stale_keys_can_be_allowed() -> None:
    assert check_front_settings(TEXT, 'x').promises.keys_strict
    text = f'{TEXT}\n[promises]\nkeys_strict = false\n'
    assert not check_front_settings(text, 'x').promises.keys_strict


def test_a_bound_of_zero_is_rejected() -> None:
    with pytest.raises(
        InvalidInputError, match=r'resends\.window: must be above 0'
    ):
        check_front_settings(f'{TEXT}\n[resends]\nwindow = 0.0\n', 'x')
