"""Reading of the Retry-After of a response."""

from __future__ import annotations

import math


def parse_retry_after(text: str) -> float | None:
    """Return the seconds that a Retry-After names, None if it cannot be read.

    :param text: value of the header, which may have a fraction
    """
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds >= 0 else None
