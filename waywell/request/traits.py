"""What a request may be blamed by when the replicas that run it crash."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import attrs

from waywell.ids import Fingerprint, PromptPart

if TYPE_CHECKING:
    from collections.abc import Iterator

    from waywell.ids import Trait


@attrs.frozen
class RequestTraits:
    """The request itself and the parts that its prompt shares with others."""

    fingerprint: Fingerprint
    """Identifies the request over its repeats."""

    prompt_parts: tuple[PromptPart, ...] = ()
    """Shared parts of its prompt, in order."""

    def select_cleared(self, status: int) -> RequestTraits:
        """Return the traits that a complete answer clears of crashes.

        A replica that turns a request down has not processed its prompt.

        Parameters
        ----------
        status
            HTTP status of the answer.
        """
        if status < HTTPStatus.MULTIPLE_CHOICES:
            return self
        return RequestTraits(self.fingerprint)

    def __iter__(self) -> Iterator[Trait]:
        """Return an iterator over all traits, the request first."""
        yield self.fingerprint
        yield from self.prompt_parts

    def __contains__(self, trait: Trait) -> bool:
        """Answer whether the request has a trait."""
        return trait == self.fingerprint or trait in self.prompt_parts
