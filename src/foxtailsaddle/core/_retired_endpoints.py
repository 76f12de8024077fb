"""Recognizes outdated list entries of endpoints that have drained or left.

Load pattern: the platform's store is restored from a backup that is some seconds old.
The restored list then shows endpoints as ready that have since drained or left, until
their processes or the store correct the entries.
"""

import dataclasses

from ._endpoint_list import EndpointState, ListedEndpoint
from ._ids import EndpointId
from ._store_version import StoreVersion

MAX_RETIRED = 2000  # bounds the memory; the oldest are forgotten first


class RetiredEndpoints:
    """Endpoints that are known to drain or to have left.

    Such an endpoint becomes usable again when its entry names another process, or was
    written again after the store was restored.
    """

    def __init__(self) -> None:
        self._born_ms_by_id: dict[EndpointId, int] = {}
        self._retired_born_ms_by_id: dict[EndpointId, int] = {}
        self._outdated_version_by_id: dict[EndpointId, StoreVersion] = {}

    def retire(self, endpoint: EndpointId) -> None:
        """Record that a listed endpoint drains or has left."""
        if endpoint not in self._born_ms_by_id:
            return
        self._retired_born_ms_by_id.pop(endpoint, None)
        self._retired_born_ms_by_id[endpoint] = self._born_ms_by_id.pop(endpoint)
        if len(self._retired_born_ms_by_id) > MAX_RETIRED:
            self._forget(next(iter(self._retired_born_ms_by_id)))

    def correct(
        self, entry: ListedEndpoint, version: StoreVersion, is_restored: bool
    ) -> ListedEndpoint:
        """Return an entry of the list as it is to be applied.

        The entry of a retired endpoint that the store has restored is returned as
        draining. So is the same version of it when it is read again.

        :param is_restored: the entry comes from the first read of a restored store.
        """
        if self._is_outdated(entry, version, is_restored):
            self._outdated_version_by_id[entry.id] = version
            return dataclasses.replace(entry, state=EndpointState.DRAINING)
        self._forget(entry.id)
        self._born_ms_by_id[entry.id] = entry.born_ms
        if entry.state is not EndpointState.READY:
            self.retire(entry.id)
        return entry

    def _is_outdated(
        self, entry: ListedEndpoint, version: StoreVersion, is_restored: bool
    ) -> bool:
        if self._retired_born_ms_by_id.get(entry.id) != entry.born_ms:
            return False
        outdated_version = self._outdated_version_by_id.get(entry.id)
        is_read_again = outdated_version is not None and version <= outdated_version
        return is_restored or is_read_again

    def _forget(self, endpoint: EndpointId) -> None:
        self._retired_born_ms_by_id.pop(endpoint, None)
        self._outdated_version_by_id.pop(endpoint, None)
