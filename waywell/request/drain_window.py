"""The time in which a stopping node finishes its work."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from waywell.request.answer_times import EndEstimate
    from waywell.request.request_context import RequestContext


@attrs.frozen
class DrainWindow:
    """When a stopping node cuts its work, and what it still accepts.

    A replica may fall silent at any time, so only the deadline of a request
    bounds the end of its answer.
    """

    estimates_until: float
    """Time in seconds until which a request is accepted if it is expected to
    end in time, although a silent replica may delay its end."""

    ends_at: float
    """Time at which requests are cut, in seconds."""

    def may_accept(self, context: RequestContext, end: EndEstimate) -> bool:
        """Return whether a request may still be accepted.

        Parameters
        ----------
        context
            Request that was just received.
        end
            Estimate of its end.
        """
        if context.deadline_at <= self.ends_at:
            return True
        if context.request.forwarded is not None:
            # The node that forwards it continues and can use another peer.
            return False
        is_early = context.arrived_at <= self.estimates_until
        return is_early and end.ends_at <= self.ends_at
