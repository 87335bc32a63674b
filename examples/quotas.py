"""Embeds the quotas: three processes divide a limit without asking each other.

Run it with ``python -m examples.quotas``.
"""

from __future__ import annotations

from auburnproxy.membership import Epoch, EpochWindow, Member
from auburnproxy.quotas import SlotLimiters

KEY = "upstream/printer"
LIMIT = 8


def make_member(name: str) -> Member:
    """Return a member for one incarnation of a process."""
    return Member(name, "1", "workshop", "127.0.0.1:1", "127.0.0.1:2")


def shares(members: tuple[Member, ...], window: EpochWindow) -> dict[str, int]:
    """Return the share of each member in an epoch window."""
    by_name = {}
    for member in members:
        limiter = SlotLimiters(lambda: window, member.id).limiter(KEY)
        limiter.limit = LIMIT
        by_name[member.name] = limiter.share
    return by_name


def main() -> None:
    """Show the shares in a stable group, during a join, and after a loss."""
    two = (make_member("a"), make_member("b"))
    three = (*two, make_member("c"))
    old, new = Epoch(1, two), Epoch(2, three)
    stable = EpochWindow((old,), frozenset(), (), "workshop")
    joining = EpochWindow((old, new), frozenset(), (), "workshop")
    joined = EpochWindow((new,), frozenset(), (), "workshop")
    lost = joined._replace(gone=frozenset({three[0].id}))
    print(f"two processes: {shares(two, stable)}")
    print(f"one joins, not all have seen it: {shares(three, joining)}")
    print(f"all have seen it: {shares(three, joined)}")
    print(f"one is gone for good: {shares(three[1:], lost)}")


if __name__ == "__main__":
    main()
