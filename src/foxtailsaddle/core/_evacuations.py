"""Data centres whose endpoints the operator wants to be left alone.

Load pattern: a data centre is evacuated under full load and taken back soon after. Its
endpoints are idle then, so that without this every instance would go on choosing them.
Instances hear of a change in any order, and a store that is restored from a backup may
have lost one.
"""

import dataclasses
import typing as t

from ._endpoint_list import ListedEndpoint
from ._ids import DataCentre
from ._store_version import StoreVersion

NEVER_READ = StoreVersion(0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuatedDataCentres:
    """The data centres that were evacuated at one version of the store.

    :param data_centres: in alphabetical order.
    """

    version: StoreVersion = NEVER_READ
    data_centres: tuple[DataCentre, ...] = ()


class Evacuations:
    """The evacuated data centres, as of the latest version of the store that is known.

    :param restore_grace_s: seconds for which an evacuation is kept that a restored
        store doesn't show; the operator may write it again within that time.
    """

    def __init__(self, restore_grace_s: float = 0.0) -> None:
        self._restore_grace_s = restore_grace_s
        self._since_by_data_centre: dict[DataCentre, float] = {}
        self._kept_until_by_data_centre: dict[DataCentre, float] = {}
        self.known = EvacuatedDataCentres()

    @property
    def since_by_data_centre(self) -> t.Mapping[DataCentre, float]:
        """When this instance learnt of each evacuation that holds."""
        return self._since_by_data_centre

    def update(self, evacuated: EvacuatedDataCentres, now: float) -> set[DataCentre]:
        """Take over the state at a later version; ignore one that isn't later.

        :returns: the data centres whose evacuation has begun or ended.
        """
        if evacuated.version <= self.known.version:
            return set()
        known, self.known = self.known, evacuated
        if evacuated.version.era > known.version.era:
            missing = set(known.data_centres) - set(evacuated.data_centres)
            kept_until = now + self._restore_grace_s
            self._kept_until_by_data_centre |= dict.fromkeys(missing, kept_until)
        return self._apply(now)

    def expire(self, now: float) -> set[DataCentre]:
        """End the evacuations that a restored store has not shown again.

        :returns: the data centres whose evacuation has ended.
        """
        if not self._kept_until_by_data_centre:
            return set()
        return self._apply(now)

    def is_evacuated(self, data_centre: DataCentre) -> bool:
        """Return whether the endpoints of a data centre get nothing new."""
        return data_centre in self._since_by_data_centre

    def available(
        self, entries: t.Sequence[ListedEndpoint]
    ) -> t.Sequence[ListedEndpoint]:
        """Return the entries of endpoints outside the evacuated data centres."""
        if not self._since_by_data_centre:
            return entries
        return [entry for entry in entries if not self.is_evacuated(entry.data_centre)]

    def _apply(self, now: float) -> set[DataCentre]:
        kept = self._kept_until_by_data_centre
        for data_centre, kept_until in list(kept.items()):
            if kept_until <= now:
                del kept[data_centre]
        wanted = {*self.known.data_centres, *kept}
        changed = wanted ^ self._since_by_data_centre.keys()
        for data_centre in changed - wanted:
            del self._since_by_data_centre[data_centre]
        for data_centre in changed & wanted:
            self._since_by_data_centre[data_centre] = now
        return changed
