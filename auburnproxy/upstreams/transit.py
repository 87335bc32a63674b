"""How long ago a peer sent something, bounded without comparing two hosts' clocks."""

from __future__ import annotations

DRIFT = 0.001
"""Largest difference in rate of two hosts' monotonic clocks, as a part."""


class Transit:
    """The frames from one peer, by its clock and by ours.

    The difference between our clock at a reception and the peer's at the sending
    is the clocks' offset plus the transit. Its least value, told to the peer,
    is what lets the peer bound the transit of our frames: in the sum of both
    directions the offset cancels out, and what is left is the frame's transit plus
    the least transit the other way.
    """

    def __init__(self) -> None:
        self._least_s: float | None = None
        self._received_at = 0.0

    def least_s(self, now: float) -> float | None:
        """Return the least difference seen, grown by what the clocks may drift.

        :param now: our clock in seconds
        :return: None before the first frame
        """
        if self._least_s is None:
            return None
        return self._least_s + DRIFT * max(0.0, now - self._received_at)

    def receive(
        self, *, sent_at: float, received_at: float, least_s: float | None
    ) -> float | None:
        """Return the most seconds that have passed since a frame was sent.

        :param sent_at: the peer's clock in seconds at the sending
        :param received_at: our clock in seconds
        :param least_s: the least difference that the peer has seen of our frames
        :return: None if the peer has seen none yet
        """
        difference_s = received_at - sent_at
        known_s = self.least_s(received_at)
        self._least_s = difference_s if known_s is None else min(known_s, difference_s)
        self._received_at = received_at
        return None if least_s is None else max(0.0, difference_s + least_s)
