"""What an instance knows of another one."""

import dataclasses

from ...core import DataCentre, InstanceId, StoreVersion, UpdateSequence
from ._messages import NO_VERSION

NO_DATA_CENTRE = DataCentre("")


@dataclasses.dataclass(slots=True)
class Peer:
    """Another instance.

    :param address: where it receives datagrams, ``(host, port)``.
    :param last_heard_at: when its last datagram arrived; 0 before the first.
    :param incarnation: number of its present process; 0 before the first datagram.
    :param ended_incarnations: numbers of its earlier processes, whose datagrams may
        still arrive.
    :param control_address: serves its snapshot; empty without one.
    :param configuration_version: version that it has in force.
    :param reads_store: it follows the store and sends its changes.
    :param list_version: version of the last change of the list that it has.
    :param cut_off: it reaches no endpoint itself.
    :param added_at: when this instance learnt of it.
    :param bounds_cold_starts: it bounds requests to cold endpoints.
    :param sequence: the numbered updates that this instance has of it; ``None`` if it
        numbers none.
    """

    id: InstanceId
    address: tuple[str, int]
    last_heard_at: float = 0.0
    incarnation: int = 0
    ended_incarnations: set[int] = dataclasses.field(default_factory=set)
    control_address: str = ""
    configuration_version: int = 0
    leaving: bool = False
    reads_store: bool = False
    list_version: StoreVersion = NO_VERSION
    added_at: float = 0.0
    cut_off: bool = False
    data_centre: DataCentre = NO_DATA_CENTRE
    bounds_cold_starts: bool = False
    sequence: UpdateSequence | None = None
