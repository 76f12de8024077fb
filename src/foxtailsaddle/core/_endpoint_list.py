"""The endpoints that may get requests, according to the platform's list.

Load pattern: endpoints that drain, vanish without notice, come back under
another id, or whose list entries expire together while the platform's store is
unavailable.
"""

import dataclasses
import typing as t
from enum import Enum

from ._ids import DataCentre, EndpointId, ServiceId

OUTAGE_GRACE_S = 2.0  # after an outage of the store, for entries to be renewed


class EndpointState(Enum):
    """State that an endpoint reports of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One entry of the platform's list of endpoints.

    :param address: ``host:port``.
    :param slots: requests that the endpoint processes at once.
    :param born_ms: start of this incarnation, wall-clock time in milliseconds.
    :param cold_s: how much longer the endpoint was cold when it wrote the entry, in
        seconds.
    """

    id: EndpointId
    service: ServiceId
    address: str
    data_centre: DataCentre
    state: EndpointState
    slots: int = 1
    born_ms: int = 0
    cold_s: float = 0.0

    @property
    def incarnation(self) -> str:
        """Identifies this run of the endpoint; an id may be used again."""
        return f"{self.id}@{self.born_ms}"


class EndpointList:
    """Endpoints on the platform's list, and those that were just removed from it."""

    def __init__(self) -> None:
        self._entry_by_id: dict[EndpointId, ListedEndpoint] = {}
        self._ready_by_service: dict[ServiceId, dict[EndpointId, ListedEndpoint]] = {}
        self._usable_by_service: dict[ServiceId, tuple[ListedEndpoint, ...]] = {}
        self._drop_at_by_id: dict[EndpointId, float] = {}
        self._store_back_at = -OUTAGE_GRACE_S

    def get(self, endpoint: EndpointId) -> ListedEndpoint | None:
        """Return the entry of an endpoint, or ``None``."""
        return self._entry_by_id.get(endpoint)

    def __contains__(self, endpoint: EndpointId) -> bool:
        return endpoint in self._entry_by_id

    def all(self) -> t.Iterable[ListedEndpoint]:
        """Return all entries, including endpoints that drain."""
        return self._entry_by_id.values()

    def usable(self, service: ServiceId) -> tuple[ListedEndpoint, ...]:
        """Return the endpoints of a service that may get requests.

        :returns: the same tuple until an endpoint of the service changes.
        """
        usable = self._usable_by_service.get(service)
        if usable is None:
            usable = tuple(self._ready_by_service.get(service, {}).values())
            self._usable_by_service[service] = usable
        return usable

    def at_address(self, address: str) -> ListedEndpoint | None:
        """Return the endpoint that listens at an address."""
        for entry in self._entry_by_id.values():
            if entry.address == address:
                return entry
        return None

    def newest_at_address(self, address: str) -> ListedEndpoint | None:
        """Return the endpoint that started last at an address.

        The entry of the one before it may still be listed.
        """
        entries = [entry for entry in self.all() if entry.address == address]
        return max(entries, key=lambda entry: entry.born_ms, default=None)

    def successor_of(self, entry: ListedEndpoint) -> ListedEndpoint | None:
        """Return the entry of a later process in place of an endpoint's.

        It has the same id, or the same service and address.
        """
        for other in self._entry_by_id.values():
            is_in_place = other.id == entry.id or (
                other.service == entry.service and other.address == entry.address
            )
            if is_in_place and other.born_ms > entry.born_ms:
                return other
        return None

    def record_store_reconnect(self, now: float) -> None:
        """Record that the store is available again after an outage."""
        self._store_back_at = now

    def put(self, entry: ListedEndpoint) -> None:
        """Add or replace an entry."""
        self._remove_from_service(entry.id)
        self._drop_at_by_id.pop(entry.id, None)
        self._entry_by_id[entry.id] = entry
        if entry.state is EndpointState.READY:
            self._ready_by_service.setdefault(entry.service, {})[entry.id] = entry
            self._usable_by_service.pop(entry.service, None)

    def remove(self, endpoint: EndpointId, now: float) -> None:
        """Schedule the removal of an entry that is no longer listed.

        Right after an outage of the store, entries have expired although their
        endpoints are alive. These entries are kept for a grace period, until
        the endpoints have renewed them.
        """
        if endpoint not in self._entry_by_id or endpoint in self._drop_at_by_id:
            return
        grace_ends_at = self._store_back_at + OUTAGE_GRACE_S
        self._drop_at_by_id[endpoint] = max(now, grace_ends_at)

    def replace(self, entries: t.Iterable[ListedEndpoint], now: float) -> None:
        """Replace all entries with those of a full read of the list."""
        listed = {entry.id: entry for entry in entries}
        for endpoint in list(self._entry_by_id):
            if endpoint not in listed:
                self.remove(endpoint, now)
        for entry in listed.values():
            self.put(entry)

    def expire(self, now: float) -> list[EndpointId]:
        """Delete the entries whose removal is due, and return their ids."""
        expired = [key for key, at in self._drop_at_by_id.items() if at <= now]
        for endpoint in expired:
            del self._drop_at_by_id[endpoint]
            self._remove_from_service(endpoint)
            del self._entry_by_id[endpoint]
        return expired

    def _remove_from_service(self, endpoint: EndpointId) -> None:
        entry = self._entry_by_id.get(endpoint)
        if entry is not None:
            self._ready_by_service.get(entry.service, {}).pop(endpoint, None)
            self._usable_by_service.pop(entry.service, None)
