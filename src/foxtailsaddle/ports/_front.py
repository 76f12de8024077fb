"""What the forwarding path needs of the platform: its header names and store."""

import dataclasses
import typing as t

from ..core import AccountId, EndpointId, ListedEndpoint, RouteTable

Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class PromptSize:
    """Size of a prompt and of its answer, in tokens.

    :param max_output: the longest answer that the client accepts.
    :param likely_output: the client's estimate, often far off; ``None`` without.
    """

    prompt: int
    max_output: int
    likely_output: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """What a caller's headers say, besides what is passed on as it came.

    :param deadline_s: how long the caller waits; ``None`` when it doesn't say.
    :param key: the caller's key; ``None`` without one.
    """

    id: str
    host: str
    deadline_s: float | None
    key: str | None
    prompt: PromptSize | None


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """What an instance adds to a request that it sends to an endpoint.

    :param priority: from 0, served first, to 9; ``None`` leaves it to the engine.
    :param helpers: address and reservation of each engine that helps reading;
        the reservation is empty when it holds no memory.
    :param after_event: event that a resumed stream goes on after.
    """

    endpoint: EndpointId
    left_s: float
    account: AccountId | None
    priority: int | None = None
    helpers: tuple[tuple[str, str], ...] = ()
    after_event: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """What an endpoint's status and headers say.

    :param refused: the endpoint states that it did not run the request.
    :param request_id: the id that the answer belongs to; empty without one.
    :param fault_at: address of the endpoint that a refusal is due to.
    """

    status: int
    refused: bool
    request_id: str
    fault_at: str = ""


class Wire(t.Protocol):
    """Reads and writes the platform's headers; decides nothing."""

    def read_request(self, headers: Headers) -> CallerRequest:
        """Decode a caller's headers."""

    def endpoint_headers(self, headers: Headers, dispatch: Dispatch) -> Headers:
        """Return the headers for an endpoint, without those that frame the body."""

    def read_answer(self, status: int, headers: Headers) -> AnswerHead:
        """Decode the head of an endpoint's answer."""

    def caller_headers(self, headers: Headers) -> Headers:
        """Return an endpoint's headers as the caller gets them."""

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> Headers:
        """Return the headers of an answer of our own."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """A row of the platform's store; ``value`` is empty when it was removed."""

    key: str
    value: bytes
    version: int
    removed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRows:
    """Rows of a table as of one version of the store.

    :param now_ms: the store's steady clock, in milliseconds.
    """

    rows: list[StoredRow]
    version: int
    now_ms: int


class Store(t.Protocol):
    """The platform's store.

    Calls raise :class:`PlatformUnavailableError` when nothing was done, and
    :class:`WriteOutcomeUnknownError` when a write may have been.
    """

    async def read(self, table: str) -> StoredRows:
        """Return all rows of a table."""

    async def changes(self, table: str, after: int, wait_s: float) -> StoredRows:
        """Wait for changes after a version.

        :raises HistoryGoneError: the store no longer has them.
        """

    async def write(self, table: str, puts: dict[str, bytes], drops: list[str]) -> int:
        """Write and delete rows; return the version."""

    async def aclose(self) -> None:
        """Close the connection."""


class Schema(t.Protocol):
    """Where things lie in the store, and how they are decoded."""

    configuration_table: str
    configuration_key: str
    endpoint_table: str
    instance_table: str

    def configuration(self, value: bytes) -> RouteTable:
        """Decode the operator's configuration.

        :raises SettingsError: it can't be read.
        """

    def endpoint(self, key: str, value: bytes) -> ListedEndpoint | None:
        """Decode an entry of the list; ``None`` when it names no endpoint."""


@dataclasses.dataclass(frozen=True, slots=True)
class HttpReply:
    """Status and whole body of a call."""

    status: int
    body: bytes


class HttpCaller(t.Protocol):
    """Makes calls one after the other over one kept connection."""

    async def call(
        self, method: str, target: str, body: bytes | None, timeout_s: float
    ) -> HttpReply:
        """Make a call.

        :raises NothingSentError: the other side was not reached.
        :raises ExchangeBrokenError: the call was sent and not answered.
        """

    async def aclose(self) -> None:
        """Close the connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """What a model engine says of its load; it is some hundred ms old.

    :param pace: how many times slower than its published speed it works.
    :param kv_used: memory that can't yield, in tokens.
    """

    pace: float
    queued: int
    running: int
    kv_used: int


class Desk(t.Protocol):
    """Orders to engines about their memory, and their reports."""

    async def report(self, address: str) -> EngineReport:
        """Ask an engine for its load."""

    async def reserve(self, address: str, id: str, tokens: int, hold_s: float) -> bool:
        """Set memory aside; false when the engine has none."""

    async def release(self, address: str, id: str) -> None:
        """Give back what was set aside."""
