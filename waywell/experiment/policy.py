"""Policies: arguments that the product's decisions are given."""

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
"""Name of the policy that the daemons follow."""

_LIMITS = ResendLimits()


QUICK_RETURN_SECONDS = 0.25
"""Retry-After of the policy ``quick-return``."""


@attrs.frozen
class Policy:
    """What differs from the daemons' ways; the defaults are theirs."""

    resend_ratio: float = _LIMITS.ratio
    """Second sends for each request."""

    resend_slack: float = _LIMITS.slack
    """Second sends beyond the ratio, over the budget's window."""

    choosing_nodes: int = 0
    """Nodes that the chooser reckons with; 0 for those of the fleet."""

    return_seconds: float = 0.0
    """Fixed Retry-After of refusals; 0 for the product's advice."""

    measures_demand: bool = True
    """Whether the planner gets the measured demand, or none."""


POLICIES: Mapping[str, Policy] = MappingProxyType(
    {
        CURRENT: Policy(),
        'no-resends': Policy(resend_ratio=0, resend_slack=0),
        'first-draw': Policy(choosing_nodes=1000),
        'quick-return': Policy(return_seconds=QUICK_RETURN_SECONDS),
        'expected-shares': Policy(measures_demand=False),
    },
)
"""Policies by name."""


def find_policy(name: str) -> Policy:
    """Return a policy by its name, or from a TOML file.

    Raises
    ------
    InvalidInputError
        When there is none, or the file has faults.
    """
    known_policy = POLICIES.get(name)
    if known_policy is not None:
        return known_policy
    if not name.endswith('.toml'):
        known = ', '.join(POLICIES)
        raise InvalidInputError(
            [f'{name}: no policy; one of {known}, or a file']
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
