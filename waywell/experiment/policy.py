"""Policies: variations of the daemons' settings that experiments compare."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

import attrs

from waywell.request.resend_budget import ResendLimits
from waywell.version.input_validation import InvalidInputError, structure_input
from waywell.version.toml_text import read_text, read_toml

if TYPE_CHECKING:
    from collections.abc import Mapping

CURRENT = 'current'
"""Name of the policy with the daemons' defaults."""

_LIMITS = ResendLimits()


QUICK_RETURN_SECONDS = 0.25
"""Retry-After of the policy ``quick-return``, in seconds."""


@attrs.frozen
class Policy:
    """Settings of a policy; the defaults are those of the daemons."""

    resend_ratio: float = _LIMITS.ratio
    """Resends allowed for each request."""

    resend_slack: float = _LIMITS.slack
    """Resends allowed beyond the ratio within the budget's window."""

    choosing_nodes: int = 0
    """Number of nodes that the chooser assumes; 0 for the actual number."""

    return_seconds: float = 0.0
    """Fixed Retry-After of refusals, in seconds; 0 for the daemons' value."""

    measures_demand: bool = True
    """Whether the planner uses the measured demand; if not, it relies on the
    expected shares."""


POLICIES: Mapping[str, Policy] = MappingProxyType(
    {
        CURRENT: Policy(),
        'no-resends': Policy(resend_ratio=0, resend_slack=0),
        'first-draw': Policy(choosing_nodes=1000),
        'quick-return': Policy(return_seconds=QUICK_RETURN_SECONDS),
        'expected-shares': Policy(measures_demand=False),
    },
)
"""Predefined policies by name."""


def find_policy(name: str) -> Policy:
    """Return a predefined policy, or read one from a TOML file.

    Raises
    ------
    InvalidInputError
        If there is no such policy or the file is invalid.
    """
    known_policy = POLICIES.get(name)
    if known_policy is not None:
        return known_policy
    if not name.endswith('.toml'):
        known = ', '.join(POLICIES)
        raise InvalidInputError(
            [f'{name}: unknown policy; use one of {known}, or a TOML file']
        )
    policy = structure_input(read_toml(read_text(name), name), Policy, name)
    faults = [
        f'{name}.{field.name}: {getattr(policy, field.name)!r} is below 0'
        for field in attrs.fields(Policy)
        if getattr(policy, field.name) < 0
    ]
    if faults:
        raise InvalidInputError(faults)
    return policy
