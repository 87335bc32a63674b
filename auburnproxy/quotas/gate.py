"""Counts the calls in flight against this daemon's share of a limit."""

from __future__ import annotations

from collections.abc import Callable

from ..membership.epoch import Epoch, EpochWindow
from .share import UPSTREAM_PREFIX, share


class Gate:
    """This daemon's part of one limit.

    :param key: the limit's key, ``upstream/HOST`` or ``plan/NAME``
    :param window: returns what the daemon has to obey now
    :param member_id: the daemon
    """

    def __init__(
        self, key: str, window: Callable[[], EpochWindow], member_id: str
    ) -> None:
        self.key = key
        self.in_flight = 0
        """Slots that this daemon uses now."""
        self.foreign = 0
        """Slots that work of gone members may still use at the upstream, at most."""
        self.holds_growth = False
        """Whether a loss makes the whole limit foreign until it is counted."""
        self._window = window
        self._member_id = member_id
        self._limit = 0
        self._share = 0
        self._base = 0
        self._divided: tuple[int, EpochWindow] | None = None

    @property
    def limit(self) -> int:
        """Return the slots of the whole limit, all daemons together."""
        return self._limit

    @limit.setter
    def limit(self, slots: int) -> None:
        self._limit = max(slots, 0)

    @property
    def share(self) -> int:
        """Return the slots that this daemon may use now."""
        window = self._window()
        divided = self._divided
        if divided and divided[0] == self._limit and divided[1] is window:
            return self._share
        seen = divided[1].gone if divided else frozenset()
        if self.holds_growth and not window.gone <= seen and not self.foreign:
            self._base, self.foreign = self._share, self._limit
        self._divided = (self._limit, window)
        self._share = share(self._limit, self.key, window, self._member_id)
        return self._share

    @property
    def held(self) -> int:
        """Return the slots held back: foreign ones, but none held before the loss."""
        return min(self.foreign, max(self.share - self._base, 0))

    @property
    def free(self) -> int:
        """Return the slots that :meth:`try_acquire` would give now."""
        return max(self.share - self.held - self.in_flight, 0)

    def try_acquire(self) -> bool:
        """Take a slot if one is free; never waits."""
        if not self.free:
            return False
        self.in_flight += 1
        return True

    def release(self) -> None:
        """Give back a slot that :meth:`try_acquire` gave."""
        if not self.in_flight:
            raise ValueError(f"{self.key}: released more slots than were acquired")
        self.in_flight -= 1

    def fits(self, epoch: Epoch) -> bool:
        """Return whether the slots in use fit this daemon's share of an epoch.

        :param epoch: one epoch of the daemon's failure domain
        """
        if not self.in_flight:
            return True
        window = self._window()._replace(epochs=(epoch,))
        return self.in_flight <= share(self._limit, self.key, window, self._member_id)


class Gates:
    """The gates of one daemon, made when first asked for.

    :param window: returns what the daemon has to obey now
    :param member_id: the daemon
    """

    def __init__(self, window: Callable[[], EpochWindow], member_id: str) -> None:
        self.gates_by_key: dict[str, Gate] = {}
        self.holds_growth = False
        """Whether new gates of upstreams hold back what they inherit."""
        self._window = window
        self._member_id = member_id

    def gate(self, key: str) -> Gate:
        """Return the gate of a key.

        :param key: ``upstream/HOST`` or ``plan/NAME``
        """
        gate = self.gates_by_key.get(key)
        if gate is None:
            gate = Gate(key, self._window, self._member_id)
            gate.holds_growth = self.holds_growth and key.startswith(UPSTREAM_PREFIX)
            self.gates_by_key[key] = gate
        return gate

    def fits(self, epoch: Epoch) -> bool:
        """Return whether everything in flight fits the shares of an epoch.

        :param epoch: one epoch of the daemon's failure domain
        """
        return all(gate.fits(epoch) for gate in self.gates_by_key.values())

    @property
    def busy_by_key(self) -> dict[str, int]:
        """Return the slots in use at each upstream that has any."""
        gates = self.gates_by_key.items()
        return {
            key: gate.in_flight
            for key, gate in gates
            if gate.in_flight and key.startswith(UPSTREAM_PREFIX)
        }

    @property
    def free_by_key(self) -> dict[str, int]:
        """Return the keys that have a free slot, with their number."""
        free = ((key, gate.free) for key, gate in self.gates_by_key.items())
        return {key: slots for key, slots in free if slots}
