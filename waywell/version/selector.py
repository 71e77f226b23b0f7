"""Label selectors, written as plain tables."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

Labels = Mapping[str, str]
"""Labels of a box, a group, an account or a session."""


@attrs.frozen
class Selector:
    """Matches sets of labels; an empty selector matches everything."""

    match: dict[str, list[str]] = attrs.Factory(dict)
    """Allowed values by label; a label that is absent does not match."""

    exclude: dict[str, list[str]] = attrs.Factory(dict)
    """Excluded values by label."""

    def admits(self, labels: Labels) -> bool:
        """Return whether the labels satisfy all requirements."""
        matches = all(
            labels.get(key) in allowed for key, allowed in self.match.items()
        )
        return matches and not any(
            labels.get(key) in excluded
            for key, excluded in self.exclude.items()
        )
