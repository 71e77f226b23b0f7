"""Traits by which crashes of replicas are attributed to requests."""

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
    """Fingerprint of a request and the shared parts of its prompt."""

    fingerprint: Fingerprint
    """Identifies the request each time it is sent."""

    prompt_parts: tuple[PromptPart, ...] = ()
    """Parts that its prompt shares with other requests, in order."""

    def select_cleared(self, status: int) -> RequestTraits:
        """Return the traits that a complete answer clears of crashes.

        A replica that rejects a request has not processed its prompt, so an
        error status clears the fingerprint only.

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
        """Return whether the request has a trait."""
        return trait == self.fingerprint or trait in self.prompt_parts
