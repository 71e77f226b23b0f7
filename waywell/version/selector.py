"""Selectors over labels: plain tables, no language of their own."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

Labels = Mapping[str, str]
"""Labels of a box, a group, an account or a session."""


@attrs.frozen
class Selector:
    """Matches labels; an empty selector matches everything."""

    match: dict[str, list[str]] = attrs.Factory(dict)
    """For each key the values of which the label must have one."""

    exclude: dict[str, list[str]] = attrs.Factory(dict)
    """For each key the values that the label must not have."""

    def admits(self, labels: Labels) -> bool:
        """Answer whether the labels satisfy every requirement."""
        wanted = all(
            labels.get(key) in allowed for key, allowed in self.match.items()
        )
        return wanted and not any(
            labels.get(key) in refused for key, refused in self.exclude.items()
        )
