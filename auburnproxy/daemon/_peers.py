"""The peers that calls may be forwarded to."""

from __future__ import annotations

from collections.abc import Mapping

from ..membership import Member, Membership


class LinkedPeers:
    """The daemons that this one has a link with.

    :param membership: keeps the links
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership

    @property
    def members_by_id(self) -> Mapping[str, Member]:
        """Return the linked daemons."""
        links = self._membership.links_by_id
        return {member_id: link.peer for member_id, link in links.items()}

    def free_slots(self, key: str) -> Mapping[str, int]:
        """Return the free slots of a gate by member id.

        :param key: ``upstream/HOST`` or ``plan/NAME``
        """
        return self._membership.free_slots(key)
