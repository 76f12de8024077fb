"""Messages between instances, and the port that carries them."""

import dataclasses
import typing as t

from ..core import EndpointId, InstanceId, Member, PromptPartId, RefusedPart


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointWord:
    """The newest known state of an endpoint.

    :param leaving: the endpoint is shutting down.
    :param age_s: seconds since the endpoint reported this state itself.
    """

    endpoint: str
    incarnation: str
    leaving: bool
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """Fingerprint of a request that was in flight when an endpoint died.

    :param death: id of the endpoint's death.
    :param left_s: seconds until the suspicion expires.
    """

    fingerprint: str
    death: str
    left_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Gossip: membership, the newest settings revision and states of endpoints.

    :param members: full descriptions of some members: the sender, those that
        changed recently, and one more.
    :param known_hashes: hashes of the other live members, see ``Member.hash``.
    :param known_beats: their heartbeat counters, in the same order.
    :param known_revisions: their settings revisions in force, in the same order.
    :param revision: the newest settings revision that the sender knows.
    :param platform_age_s: seconds since the sender read the number of the newest
        settings revision from the platform; negative if it never did.
    :param words: states of endpoints.
    :param refused_parts: parts of prompts that crash engines.
    """

    members: tuple[Member, ...]
    known_hashes: tuple[int, ...]
    known_beats: tuple[int, ...]
    known_revisions: tuple[int, ...]
    revision: int
    platform_age_s: float
    words: tuple[EndpointWord, ...]
    suspicions: tuple[Suspicion, ...]
    refused_parts: tuple[RefusedPart, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class QuoteRequest:
    """Asks an instance for the best of the endpoints that it owns, for a prompt.

    :param tokens: length of the prompt.
    :param held_tokens: KV memory that the request may need, in tokens.
    :param waited_s: seconds that the request has waited so far.
    :param without: ids of endpoints that must not be offered.
    :param suspect: an endpoint died while it ran this request.
    :param probe_blocks: lengths of some prefixes of the prompt, in blocks.
    :param probe_digests: digests of these prefixes, in the same order.
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
    """The owner's best endpoint for a prompt.

    :param endpoint: its id; empty if no endpoint fits.
    :param wait_s: seconds until the endpoint would start the prefill.
    :param own_s: seconds that the prefill itself would take.
    :param behind_s: seconds of queued work that would run after this prompt.
    :param cached_tokens: length of the prompt's prefix in the endpoint's cache.
    """

    endpoint: str
    wait_s: float
    own_s: float
    behind_s: float
    cached_tokens: int
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """Tells an owner that a prompt was sent to its endpoint.

    :param left_s: seconds until the request's deadline.
    """

    endpoint: EndpointId
    attempt: str
    prompt_tokens: int
    held_tokens: int
    waited_s: float
    left_s: float
    suspect: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Prefilled:
    """Tells an owner that the first token of an attempt has arrived."""

    endpoint: EndpointId
    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """Tells an owner that an attempt has ended."""

    endpoint: EndpointId
    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """Tells an owner that a request to its endpoint has failed."""

    endpoint: EndpointId


@dataclasses.dataclass(frozen=True, slots=True)
class GrantRequest:
    """Asks the instance that keeps an account's limits to admit one request.

    :param key: identifies the account's counters.
    :param share_tokens_per_s: the account's fair share.
    """

    key: str
    tokens: float
    requests_per_s: float
    tokens_per_s: float
    share_tokens_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class GrantReply:
    """Decision on a :class:`GrantRequest`.

    :param wait_s: zero if the request is admitted, otherwise the seconds to wait.
    :param lag_s: seconds by which the prompt is ranked later than it arrived,
        because the account has used more than its fair share.
    """

    wait_s: float
    lag_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class StartRequest:
    """Asks whether one more copy of a request may run.

    Goes to the instance that keeps the crash records of the fingerprint.

    :param request: id of the copy.
    :param left_s: seconds until the copy's deadline.
    :param death: id of the endpoint's death that this copy has just seen;
        empty if none.
    """

    fingerprint: str
    request: str
    left_s: float
    death: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StartReply:
    """Decision on a :class:`StartRequest`.

    :param wait_s: zero if the copy may run, otherwise the seconds to wait.
    :param deaths: number of endpoints that died while they ran the request.
    """

    wait_s: float
    deaths: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """Tells the instance that keeps a fingerprint that a copy has ended.

    :param request: id of the copy.
    :param whole: the copy got a complete answer.
    """

    fingerprint: str
    request: str
    whole: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectedParts:
    """Tells all instances that an engine crashed while it ran a prompt.

    :param death: id of the engine's death.
    :param parts: the parts that the prompt may share with others.
    """

    death: str
    parts: tuple[PromptPartId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ClearedParts:
    """Tells all instances that a prompt with suspected parts was answered."""

    parts: tuple[PromptPartId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PartTrial:
    """Tells all instances that one request tries suspected parts.

    :param for_s: seconds for which no other request with them is sent.
    """

    parts: tuple[PromptPartId, ...]
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsRequest:
    """Asks a peer for its settings if they are newer than a revision."""

    newer_than: int


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsReply:
    """A peer's settings.

    :param document: JSON text; empty if they are not newer.
    """

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
    | SuspectedParts
    | ClearedParts
    | PartTrial
    | SettingsRequest
    | SettingsReply
)

PeerMessageHandler = t.Callable[
    [InstanceId, PeerMessage], t.Awaitable[PeerMessage | None]
]


class PeerLinks(t.Protocol):
    """Carries messages to other instances."""

    async def run(self, handler: PeerMessageHandler) -> None:
        """Accept and serve links until cancelled.

        :param handler: called for each incoming message; returns the reply, if
            there is one.
        """

    def tell(self, member: Member, message: PeerMessage) -> None:
        """Send a message without waiting; it may be lost."""

    async def ask(
        self, member: Member, message: PeerMessage, timeout_s: float
    ) -> PeerMessage | None:
        """Send a message and return the reply, or ``None`` after the timeout."""
