"""Messages between instances, and the state that goes with each datagram."""

import dataclasses

from ...core import (
    AttemptOutcome,
    DataCentre,
    EndpointDeath,
    EndpointId,
    EvacuatedDataCentres,
    GrantReply,
    InstanceId,
    Job,
    JobId,
    MissedUpdates,
    PromptPartId,
    RefusedPart,
    StatePart,
    StoreVersion,
)
from ...ports import StoredRow

NO_VERSION = StoreVersion(0, 0)
NOTHING_EVACUATED = EvacuatedDataCentres()


@dataclasses.dataclass(frozen=True, slots=True)
class JobPlaced:
    """The sender placed a job at an endpoint.

    :param decode_ms: expected time from the first event to the last, in
        milliseconds.
    """

    job: Job
    decode_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class JobBegan:
    """The first event of a job has arrived."""

    job: JobId


@dataclasses.dataclass(frozen=True, slots=True)
class JobEnded:
    """A job has ended.

    :param endpoint: the endpoint that the outcome is counted for.
    """

    job: JobId
    endpoint: EndpointId
    outcome: AttemptOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class SlowdownChanged:
    """The speed of an endpoint has changed.

    :param slowdown: how many times slower than its published speed it works.
    """

    endpoint: EndpointId
    slowdown: float


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointDied:
    """An endpoint crashed while it ran a request."""

    death: EndpointDeath


@dataclasses.dataclass(frozen=True, slots=True)
class PartRefused:
    """Requests with a part of prompts are refused, since it crashes engines."""

    refused: RefusedPart


@dataclasses.dataclass(frozen=True, slots=True)
class PartsCleared:
    """A request with these parts ran successfully, which clears them of suspicion.

    :param age_s: time since then.
    :param fingerprint: digest that repetitions of the request share; empty for parts
        of several requests.
    """

    parts: tuple[PromptPartId, ...]
    age_s: float = 0.0
    fingerprint: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class PartTrialClaimed:
    """The sender tries these parts with one request.

    :param for_s: time within which the result is known.
    """

    parts: tuple[PromptPartId, ...]
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LimitNamed:
    """What an endpoint last said of the limit for all instances together.

    :param start: its start, wall-clock time in milliseconds.
    :param per_s: requests per second, infinite once the limit has ended.
    :param age_s: time since an instance received the response that says so.
    :param cold_s: how much longer the endpoint is cold, which is the reason of the
        limit; 0 for a limit that it names itself.
    """

    endpoint: EndpointId
    start: int
    per_s: float
    age_s: float
    cold_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class GrantRequested:
    """The sender wants to send a request to an endpoint with a limit.

    :param number: identifies the request for a grant, which may arrive twice.
    :param max_wait_s: longest time that the request may wait.
    :param passed_over: the instance that would grant it, but didn't answer the sender;
        empty for none.
    """

    number: int
    limit: LimitNamed
    max_wait_s: float
    passed_over: InstanceId


@dataclasses.dataclass(frozen=True, slots=True)
class GrantReplied:
    """The reply to a request for a grant."""

    number: int
    reply: GrantReply


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """The sender has read a later configuration.

    :param row: the configuration as it is stored, compressed.
    :param forward_to: instances to which the receiver passes it on.
    """

    row: bytes
    forward_to: tuple[InstanceId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ListChanged:
    """An entry of the list of endpoints has changed.

    :param after: version before that of the row, of the same era.
    :param row: the entry as it is stored.
    :param count: number of entries that have changed in the version of the row; 0 from
        an instance of an earlier build.
    """

    after: StoreVersion
    row: StoredRow
    count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class UpdatesMissed:
    """The sender lacks some of the receiver's updates, and asks for them."""

    missed: MissedUpdates


Update = (
    JobPlaced
    | JobBegan
    | JobEnded
    | SlowdownChanged
    | EndpointDied
    | ListChanged
    | PartRefused
    | PartsCleared
    | PartTrialClaimed
    | LimitNamed
    | GrantRequested
    | GrantReplied
    | ConfigurationChanged
    | UpdatesMissed
    | StatePart
)


@dataclasses.dataclass(frozen=True, slots=True)
class DatagramHeader:
    """State of the sender, in every datagram.

    :param incarnation: random number of the sender's process.
    :param control_address: serves the sender's snapshot; empty without one, and in
        datagrams that carry updates.
    :param configuration_version: version in force, 0 before the first one.
    :param leaving: the sender is about to stop.
    :param reads_store: the sender follows the store and sends its changes.
    :param list_version: version of the last change of the list that the sender has.
    :param cut_off: the sender reaches no endpoint itself.
    :param data_centre: of the sender.
    :param wants_reply: the sender is new and asks for a datagram in return.
    :param bounds_cold_starts: the sender bounds requests to cold endpoints, and may
        grant them.
    :param evacuated: the data centres that the sender knows to be evacuated.
    :param numbers_updates: the sender numbers updates that must not be missed.
    :param last_update: number of the last of them, or of the last that it repeats here.
    :param update_count: how many numbers up to ``last_update`` the datagram stands for.
    """

    sender: InstanceId
    incarnation: int
    control_address: str
    configuration_version: int
    leaving: bool
    reads_store: bool = False
    list_version: StoreVersion = NO_VERSION
    wants_reply: bool = False
    cut_off: bool = False
    data_centre: DataCentre = DataCentre("")
    bounds_cold_starts: bool = False
    evacuated: EvacuatedDataCentres = NOTHING_EVACUATED
    numbers_updates: bool = False
    last_update: int = 0
    update_count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Raw rows of the store as one instance has them.

    :param configuration_row: the configuration in force; empty before the first one.
    :param endpoint_rows: the list of endpoints, by key.
    :param list_version: version of the last change of the list that it contains.
    :param evacuated: the data centres that are evacuated.
    """

    configuration_row: bytes
    endpoint_rows: dict[str, bytes]
    list_version: StoreVersion = NO_VERSION
    evacuated: EvacuatedDataCentres = NOTHING_EVACUATED
