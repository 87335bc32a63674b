"""Upper bound on the one-way delay of frames, without synchronized clocks."""

from __future__ import annotations

MAX_CLOCK_DRIFT = 0.001
"""Maximum difference in rate of two hosts' monotonic clocks, as a fraction."""


class OneWayDelay:
    """Bounds the delay of the frames from one peer.

    The difference between the local clock at reception and the peer's clock at
    sending is the clock offset plus the frame's delay. Each side sends the minimum
    of the differences it has seen to the other. Adding that minimum to the
    difference of a received frame cancels the offset; what remains is the frame's
    delay plus the minimum delay in the other direction, an upper bound.
    """

    def __init__(self) -> None:
        self._min_difference_s: float | None = None
        self._received_at = 0.0

    def min_difference_s(self, now: float) -> float | None:
        """Return the minimum difference seen, increased by the possible clock drift.

        :param now: local clock in seconds
        :return: the difference in seconds, None before the first frame
        """
        if self._min_difference_s is None:
            return None
        return self._min_difference_s + MAX_CLOCK_DRIFT * max(
            0.0, now - self._received_at
        )

    def receive(
        self,
        *,
        sent_at: float,
        received_at: float,
        peer_min_difference_s: float | None,
    ) -> float | None:
        """Return an upper bound of the seconds since a frame was sent.

        :param sent_at: the peer's clock in seconds at sending
        :param received_at: local clock in seconds at reception
        :param peer_min_difference_s: minimum difference that the peer has seen for
            frames from this daemon, None if it has received none
        :return: None if the peer has received no frame yet
        """
        difference_s = received_at - sent_at
        known_s = self.min_difference_s(received_at)
        self._min_difference_s = (
            difference_s if known_s is None else min(known_s, difference_s)
        )
        self._received_at = received_at
        return (
            None
            if peer_min_difference_s is None
            else max(0.0, difference_s + peer_min_difference_s)
        )
