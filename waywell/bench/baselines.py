"""An entry daemon with a simpler group selection, as a baseline.

``python -m waywell.bench.baselines NAME start --settings=FILE``
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from waywell.cli import run_command
from waywell.request import routing

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random

    from waywell.version.roster import Group


def choose_random(
    groups: Sequence[Group],
    is_usable: Callable[[Group], bool],
    loads: routing.LoadSource,
    random: Random,
) -> routing.Choice | None:
    """Return a random usable group."""
    usable = [group for group in groups if is_usable(group)]
    if not usable:
        return None
    return routing.Choice(
        random.choice(usable),
        routing.ChoiceReason.LESS_LOADED,
    )


def choose_least_in_flight(
    groups: Sequence[Group],
    is_usable: Callable[[Group], bool],
    loads: routing.LoadSource,
    random: Random,
) -> routing.Choice | None:
    """Return the usable group with the fewest requests in flight."""
    usable = [group for group in groups if is_usable(group)]
    random.shuffle(usable)
    best = min(
        usable,
        key=lambda group: loads.get_load(group.group).in_flight,
        default=None,
    )
    if best is None:
        return None
    return routing.Choice(best, routing.ChoiceReason.LESS_LOADED)


BASELINES = {
    'random': choose_random,
    'least_in_flight': choose_least_in_flight,
    'product': routing.choose_less_loaded,
}
"""Group selection functions by the first argument of the command."""


def main(words: list[str]) -> int:
    """Run the daemon with the group selection named by the first word."""
    # The dispatcher imports the function from the module, so it has to be
    # replaced before that import.
    routing.choose_less_loaded = BASELINES[words[0]]
    return run_command(words[1:])


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
