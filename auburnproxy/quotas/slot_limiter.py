"""Concurrency limiters that enforce this daemon's share of a limit."""

from __future__ import annotations

from collections.abc import Callable

from ..membership.epoch import Epoch, EpochWindow
from .share import UPSTREAM_PREFIX, share


class SlotLimiter:
    """Limits concurrent calls to this daemon's share of one limit.

    :param key: the limit's key, ``upstream/HOST`` or ``plan/NAME``
    :param window: returns the epochs and divisions that the daemon has to obey now
    :param member_id: the daemon's member id
    """

    def __init__(
        self, key: str, window: Callable[[], EpochWindow], member_id: str
    ) -> None:
        self.key = key
        self.in_flight = 0
        """Slots in use by this daemon."""
        self.orphaned = 0
        """Upper bound of the upstream's slots still in use by calls of gone members."""
        self.withholds_inherited = False
        """Whether the loss of a member marks the whole limit as orphaned at first.

        :class:`OrphanedCalls` then lowers the number to what the upstream reports.
        """
        self._window = window
        self._member_id = member_id
        self._limit = 0
        self._share = 0
        self._share_before_loss = 0
        self._computed_for: tuple[int, EpochWindow] | None = None

    @property
    def limit(self) -> int:
        """Return the slots of the whole limit, for all daemons together."""
        return self._limit

    @limit.setter
    def limit(self, slots: int) -> None:
        self._limit = max(slots, 0)

    @property
    def share(self) -> int:
        """Return the slots that this daemon may use now."""
        window = self._window()
        computed_for = self._computed_for
        if (
            computed_for
            and computed_for[0] == self._limit
            and computed_for[1] is window
        ):
            return self._share
        known_gone = computed_for[1].gone if computed_for else frozenset()
        if (
            self.withholds_inherited
            and not window.gone <= known_gone
            and not self.orphaned
        ):
            self._share_before_loss, self.orphaned = self._share, self._limit
        self._computed_for = (self._limit, window)
        self._share = share(self._limit, self.key, window, self._member_id)
        return self._share

    @property
    def withheld(self) -> int:
        """Return the orphaned slots, but never slots that were held before the loss."""
        return min(self.orphaned, max(self.share - self._share_before_loss, 0))

    @property
    def free(self) -> int:
        """Return how many slots :meth:`try_acquire` would grant now."""
        return max(self.share - self.withheld - self.in_flight, 0)

    def try_acquire(self) -> bool:
        """Take a slot if one is free; never waits."""
        if not self.free:
            return False
        self.in_flight += 1
        return True

    def release(self) -> None:
        """Release a slot that :meth:`try_acquire` granted."""
        if not self.in_flight:
            raise ValueError(f"{self.key}: released more slots than were acquired")
        self.in_flight -= 1

    def fits(self, epoch: Epoch) -> bool:
        """Return whether the slots in use fit this daemon's share in an epoch.

        :param epoch: an epoch of the daemon's failure domain
        """
        if not self.in_flight:
            return True
        window = self._window()._replace(epochs=(epoch,))
        return self.in_flight <= share(self._limit, self.key, window, self._member_id)


class SlotLimiters:
    """The limiters of one daemon, created on first use.

    :param window: returns the epochs and divisions that the daemon has to obey now
    :param member_id: the daemon's member id
    """

    def __init__(self, window: Callable[[], EpochWindow], member_id: str) -> None:
        self.limiters_by_key: dict[str, SlotLimiter] = {}
        self.withholds_inherited = False
        """Whether new limiters of upstreams withhold inherited slots."""
        self._window = window
        self._member_id = member_id

    def limiter(self, key: str) -> SlotLimiter:
        """Return the limiter of a key, always the same object.

        :param key: ``upstream/HOST`` or ``plan/NAME``
        """
        limiter = self.limiters_by_key.get(key)
        if limiter is None:
            limiter = SlotLimiter(key, self._window, self._member_id)
            limiter.withholds_inherited = self.withholds_inherited and key.startswith(
                UPSTREAM_PREFIX
            )
            self.limiters_by_key[key] = limiter
        return limiter

    def fits(self, epoch: Epoch) -> bool:
        """Return whether all calls in flight fit the shares in an epoch.

        :param epoch: an epoch of the daemon's failure domain
        """
        return all(limiter.fits(epoch) for limiter in self.limiters_by_key.values())

    @property
    def busy_by_key(self) -> dict[str, int]:
        """Return the slots in use by upstream key, without those that have none."""
        limiters = self.limiters_by_key.items()
        return {
            key: limiter.in_flight
            for key, limiter in limiters
            if limiter.in_flight and key.startswith(UPSTREAM_PREFIX)
        }

    @property
    def free_by_key(self) -> dict[str, int]:
        """Return the free slots by key, without keys that have none."""
        free = ((key, limiter.free) for key, limiter in self.limiters_by_key.items())
        return {key: slots for key, slots in free if slots}
