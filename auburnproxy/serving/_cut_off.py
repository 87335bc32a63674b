"""Requests that are ended because their daemon stops before they are complete."""

from __future__ import annotations

from loguru import logger

from ..clock import loop_time
from ..errors import Ran, RefusalError
from ..in_flight import InFlightRequest

DRAIN_RETRY_AFTER_S = 1.0

log = logger.bind(part="serving")


def draining_refusal() -> RefusalError:
    """Return the refusal of a request that a stopping daemon does not run."""
    message = "This daemon takes no requests now."
    return RefusalError("draining", message, retry_after_s=DRAIN_RETRY_AFTER_S)


def cut_off_refusal(request: InFlightRequest) -> RefusalError:
    """Return the refusal of a request that was cut off.

    :param request: the request, which is not sent to an upstream any more
    """
    if request.ran is Ran.NO:
        return draining_refusal()
    message = "This daemon was stopped before the answer was whole."
    return RefusalError("stopped", message, status=502, ran=Ran.UNKNOWN)


def log_cut_off(request: InFlightRequest) -> None:
    """Log how far a request had come when it was cut off."""
    log.bind(request=f" [{request.id}]").warning(
        "Request cut off after {:.2f} s, {}; upstream: {}, ran: {}, answer begun: {}.",
        loop_time() - request.arrived_at,
        request.phase,
        request.upstream or "none",
        request.ran,
        "yes" if request.answer_begun else "no",
    )
