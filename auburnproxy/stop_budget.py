"""Times by which the phases of a daemon's stop end."""

from __future__ import annotations

from typing import NamedTuple

CUT_MARGIN_S = 0.8
"""Time before the end of the grace period at which requests in flight are ended."""
ANSWERED_MARGIN_S = 0.6
"""The same, for the answers to these requests; connections are closed after that."""
CLOSE_MARGIN_S = 0.4
"""The same, for closing connections, tasks and clients."""
EXIT_MARGIN_S = 0.25
"""The same, for the process, which ends itself if it is still running."""


class StopBudget(NamedTuple):
    """Times of the event loop, in seconds; every wait of a stop ends at one of them."""

    signalled_at: float
    """Earliest time at which the stop signal may have been sent."""
    refuse_at: float
    """From then on new requests are refused, as they might not finish."""
    cut_at: float
    """Until then requests in flight are waited for."""
    answered_at: float
    """Until then the requests that were cut off are answered."""
    close_at: float
    """Until then connections, tasks and clients are closed."""
    exit_at: float
    """The process ends by then, whatever it is waiting for."""


def plan_stop(
    *,
    noticed_at: float,
    last_ran_at: float,
    grace_s: float,
    refuse_after_s: float = 0.0,
) -> StopBudget:
    """Return the budget of a stop.

    A process that was suspended notices its stop signal late, after the platform has
    begun to count. The signal is therefore taken to have been sent when the process was
    last known to run, but not so early that the process would have been killed by now.

    :param noticed_at: time at which the stop signal was noticed
    :param last_ran_at: last time before that at which the process is known to have run
    :param grace_s: seconds from the stop signal until the platform kills the process
    :param refuse_after_s: seconds after the stop signal for which new requests are
        still accepted
    """
    signalled_at = min(max(last_ran_at, noticed_at - grace_s), noticed_at)
    end_at = signalled_at + grace_s
    cut_at = max(end_at - CUT_MARGIN_S, signalled_at)
    return StopBudget(
        signalled_at=signalled_at,
        refuse_at=min(signalled_at + refuse_after_s, cut_at),
        cut_at=cut_at,
        answered_at=max(end_at - ANSWERED_MARGIN_S, cut_at),
        close_at=max(end_at - CLOSE_MARGIN_S, cut_at),
        exit_at=max(end_at - EXIT_MARGIN_S, cut_at),
    )
