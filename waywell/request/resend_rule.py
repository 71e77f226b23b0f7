"""Rule on whether a request may be sent, for the first time or again.

Each attempt of both daemons passes the rule twice: before its destination is
chosen, and right before its first byte is written, as another attempt may have
been sent in between.
"""

from __future__ import annotations

import enum

import attrs


class SendVerdict(enum.Enum):
    """Whether an attempt may be made, or the first reason against it."""

    ALLOWED = 'allowed'
    """The request may be sent."""

    NOT_REPEATABLE = 'not_repeatable'
    """The request may have run and may not run again."""

    NO_SENDS_LEFT = 'no_sends_left'
    """The request was sent to as many replicas as its route allows."""

    NO_TIME_LEFT = 'no_time_left'
    """No replica can answer before the deadline any more."""

    HELD_BACK = 'held_back'
    """The request may crash replicas and runs at enough of them."""

    NO_DESTINATION = 'no_destination'
    """All replicas and peers that accept the request were tried."""

    NO_BUDGET = 'no_budget'
    """The budget of resends is spent."""


@attrs.frozen
class SendState:
    """What is known of a request before its next attempt."""

    may_repeat: bool
    """Whether the request may run a second time, after the part of the answer
    that its caller has received."""

    sends: int
    """Number of replicas that may have received a byte of the request."""

    rejections: int
    """Number of these replicas that rejected the request without running
    it."""

    max_sends: int
    """Maximum number of replicas to send the request to."""

    deadline_at: float
    """Time at which the request is given up, in seconds."""

    min_answer_seconds: float = 0.0
    """Time that a replica needs at least to begin an answer, in seconds."""

    @property
    def may_have_run(self) -> bool:
        """Return whether a replica may have run the request."""
        return self.sends > self.rejections

    @property
    def latest_send_at(self) -> float:
        """Return the time from which the request may not be sent any more.

        A first attempt is made up to the deadline, as it costs no replica a
        second run.
        """
        if self.sends:
            return self.deadline_at - self.min_answer_seconds
        return self.deadline_at


def check_send(state: SendState, now: float, sends: int = 1) -> SendVerdict:
    """Return whether a request may be sent to further replicas.

    Parameters
    ----------
    state
        What is known of the request.
    now
        Current time, in seconds.
    sends
        Number of replicas that the attempt may reach.
    """
    if state.may_have_run and not state.may_repeat:
        return SendVerdict.NOT_REPEATABLE
    if state.sends + sends > state.max_sends:
        return SendVerdict.NO_SENDS_LEFT
    if now >= state.latest_send_at:
        return SendVerdict.NO_TIME_LEFT
    return SendVerdict.ALLOWED
