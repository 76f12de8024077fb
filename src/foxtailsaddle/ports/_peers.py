"""Messages between instances, and the port that carries them."""

import dataclasses
import typing as t

from ..core import EndpointId, InstanceId, Member


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointWord:
    """Word of an endpoint, as old as ``age_s`` seconds."""

    endpoint: str
    incarnation: str
    leaving: bool
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """A request fingerprint that was in flight when an endpoint died.

    :param left_s: seconds for which it still counts.
    """

    fingerprint: str
    death: str
    left_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Gossip: members, the newest settings, and word of endpoints.

    :param members: whole descriptions: the sender's, recent news, and one more.
    :param known_hashes: of other live members, see ``Member.hash``.
    :param known_beats: their heartbeat counters, in the same order.
    :param known_revisions: the revisions that they have in force.

    :param platform_age_s: seconds since the sender read the settings' head from
        the platform; negative when it never did.
    """

    members: tuple[Member, ...]
    known_hashes: tuple[int, ...]
    known_beats: tuple[int, ...]
    known_revisions: tuple[int, ...]
    revision: int
    platform_age_s: float
    words: tuple[EndpointWord, ...]
    suspicions: tuple[Suspicion, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class QuoteRequest:
    """Asks an owner for its best endpoint for a prompt.

    :param probe_blocks: lengths of some prefixes of the prompt, in blocks.
    :param probe_digests: their digests, in the same order.
    """

    service: str
    tokens: int
    held_tokens: int
    waited_s: float
    without: tuple[str, ...]
    suspect: bool
    probe_blocks: tuple[int, ...] = ()
    probe_digests: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class QuoteReply:
    """The owner's best endpoint; an empty id when it has none."""

    endpoint: str
    wait_s: float
    own_s: float
    behind_s: float
    cached_tokens: int
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """Tells an owner that a prompt was sent to its endpoint."""

    endpoint: EndpointId
    attempt: str
    prompt_tokens: int
    held_tokens: int
    waited_s: float
    left_s: float
    suspect: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Prefilled:
    """Tells an owner that the first token has come."""

    endpoint: EndpointId
    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """Tells an owner that an attempt has ended."""

    endpoint: EndpointId
    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """Tells an owner that an exchange with its endpoint has failed."""

    endpoint: EndpointId


@dataclasses.dataclass(frozen=True, slots=True)
class GrantRequest:
    """Asks an account's home to admit one request."""

    key: str
    tokens: float
    requests_per_s: float
    tokens_per_s: float
    share_tokens_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class GrantReply:
    """The home's word on a request.

    :param wait_s: zero when admitted, else the seconds to wait.
    :param lag_s: seconds by which the prompt ranks later.
    """

    wait_s: float
    lag_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class StartRequest:
    """Asks a fingerprint's home whether a copy of the request may run.

    :param death: the endpoint's death that this copy has just met, if any.
    """

    fingerprint: str
    request: str
    left_s: float
    death: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StartReply:
    """Zero when the copy may run, else the seconds to wait.

    :param deaths: endpoints that died while they ran the request.
    """

    wait_s: float
    deaths: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """Tells a fingerprint's home that a copy has ended.

    :param whole: its answer was whole.
    """

    fingerprint: str
    request: str
    whole: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsRequest:
    """Asks a peer for its whole settings when they are newer."""

    newer_than: int


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsReply:
    """A peer's settings as JSON text; empty when not newer."""

    revision: int
    document: str


PeerMessage = (
    Heartbeat
    | QuoteRequest
    | QuoteReply
    | Placed
    | Prefilled
    | Released
    | Failed
    | GrantRequest
    | GrantReply
    | StartRequest
    | StartReply
    | Ended
    | Suspicion
    | SettingsRequest
    | SettingsReply
)

Ask = t.Callable[[InstanceId, PeerMessage], t.Awaitable[PeerMessage | None]]


class PeerLinks(t.Protocol):
    """Carries messages to other instances."""

    async def run(self, answer: Ask) -> None:
        """Serve links until cancelled.

        :param answer: called for each message that comes in.
        """

    def tell(self, member: Member, message: PeerMessage) -> None:
        """Send a message without waiting; it may be lost."""

    async def ask(
        self, member: Member, message: PeerMessage, timeout_s: float
    ) -> PeerMessage | None:
        """Send a message and return the reply, or ``None`` in time."""
