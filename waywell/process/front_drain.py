"""Times by which a front daemon that got the signal to stop ends its work."""

from __future__ import annotations

import attrs

from waywell.request.drain_window import DrainWindow

ENTRY_LIST_TERM_FACTOR = 3.0
"""Multiple of its term for which some callers keep the entry list."""

REFUSAL_MARGIN = 2.0
"""Seconds before the forced end of the process at which the node stops
accepting connections."""

DRAIN_MARGIN = 0.6
"""Seconds before the forced end of the process at which the node cuts the
requests that still run."""

CUT_FRACTION = 1 / 6
"""Last part of the time to stop, before which no request is cut."""

WITHDRAW_FRACTION = 0.5
"""Part of the time after that cut that the node may spend on removing its
presence from the platform."""

SIGNAL_DELAY = 0.25
"""Seconds by which the node may notice the signal to stop too late, because it
was busy or had used up its share of the processor."""


@attrs.frozen
class DrainTimes:
    """Times of a graceful stop, in seconds of the node's clock."""

    accepts_until: float
    """Time until which callers may use an earlier entry list, so that the
    node accepts their connections."""

    window: DrainWindow
    """When requests are cut, and which are accepted until then."""

    withdrawn_by: float
    """Time by which the node's presence must be removed."""


def make_drain_times(
    now: float,
    *,
    stop_within: float,
    cut_answers_within: float,
    entry_list_term: float,
) -> DrainTimes:
    """Return the times of a stop whose signal was noticed at ``now``.

    Parameters
    ----------
    now
        Current time, in seconds.
    stop_within
        Seconds from the signal until the process is killed.
    cut_answers_within
        Seconds after the signal within which a request may be sent whose
        answer the end of the node cuts.
    entry_list_term
        Seconds for which most callers keep the entry list.
    """
    listed = entry_list_term * ENTRY_LIST_TERM_FACTOR
    margin = min(DRAIN_MARGIN, stop_within * CUT_FRACTION)
    ends_at = now + stop_within - margin
    return DrainTimes(
        accepts_until=now + min(listed, stop_within - REFUSAL_MARGIN),
        window=DrainWindow(
            estimates_until=now + cut_answers_within - SIGNAL_DELAY,
            ends_at=ends_at,
        ),
        withdrawn_by=ends_at + margin * WITHDRAW_FRACTION,
    )
