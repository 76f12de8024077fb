"""Ports of the forwarding path to the users' platform.

They cover its headers, its store, its HTTP connections and its model engines.
"""

import dataclasses
import typing as t

from ..core import (
    NO_NOTICE,
    AccountId,
    DataCentre,
    EndpointId,
    EndpointNotice,
    ListedEndpoint,
    PromptPartId,
    RouteTable,
    StoreVersion,
)

Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class PromptSize:
    """Size of a prompt and of its answer, in tokens.

    :param max_output_tokens: the longest answer that the client accepts.
    :param expected_output_tokens: the client's estimate of the answer's length,
        often far off; ``None`` if it gave none.
    """

    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int | None = None

    @property
    def likely_output_tokens(self) -> int:
        """Length of the answer that is planned for."""
        if self.expected_output_tokens is None:
            return self.max_output_tokens // 2
        return min(self.max_output_tokens, self.expected_output_tokens)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """The fields of a caller's headers that the instance itself uses.

    All other headers are passed on unchanged.

    :param deadline_s: how long the caller waits, in seconds; ``None`` if it does
        not say.
    :param api_key: the caller's API key; ``None`` if it sent none.
    :param prompt_size: ``None`` if the caller did not state the size.
    :param shared_prompt_parts: the parts of the prompt that other requests may share,
        in order; a bounded number, and none if the caller stated no valid parts.
    """

    id: str
    host: str
    deadline_s: float | None
    api_key: str | None
    prompt_size: PromptSize | None
    shared_prompt_parts: tuple[PromptPartId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """The header values that an instance adds when it forwards a request.

    :param remaining_s: time left until the caller's deadline, in seconds.
    :param priority: from 0 (served first) to 9; ``None`` leaves it to the engine.
    :param helpers: address and reservation id of each engine that helps with the
        prefill; the id is empty if no memory is reserved there.
    :param after_event: id of the last event that a resumed stream has delivered;
        ``None`` for a new stream.
    """

    endpoint: EndpointId
    remaining_s: float
    account: AccountId | None
    priority: int | None = None
    helpers: tuple[tuple[str, str], ...] = ()
    after_event: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Decoded status and headers of an endpoint's response.

    :param refused: the endpoint states that it did not run the request.
    :param lacks_proof: its status says so too, but callers could not rely on it.
    :param request_id: id of the request that the response answers; empty if the
        endpoint sent none.
    :param failed_address: address of the endpoint that caused a refusal, for instance
        a helper that failed; empty if none is named.
    :param notice: what the endpoint says of itself.
    """

    status: int
    refused: bool
    lacks_proof: bool
    request_id: str
    failed_address: str = ""
    notice: EndpointNotice = NO_NOTICE


class HeaderCodec(t.Protocol):
    """Decodes and encodes the platform's request and response headers."""

    def read_request(self, headers: Headers) -> CallerRequest:
        """Decode the headers of a caller's request."""

    def endpoint_headers(self, headers: Headers, dispatch: Dispatch) -> Headers:
        """Return the headers to send to an endpoint, without body framing."""

    def read_response(self, status: int, headers: Headers) -> ResponseHead:
        """Decode the status and headers of an endpoint's response."""

    def caller_headers(self, headers: Headers) -> Headers:
        """Return an endpoint's response headers without hop-by-hop headers."""

    def error_headers(self, request_id: str, retry_after_s: float | None) -> Headers:
        """Return the headers of an error response that the instance generates."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """A row of the platform's store; ``value`` is empty if the row was removed."""

    key: str
    value: bytes
    version: StoreVersion
    removed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRows:
    """Rows of a table at one version of the store.

    :param now_ms: the store's monotonic clock, in milliseconds.
    """

    rows: list[StoredRow]
    version: StoreVersion
    now_ms: int


class Store(t.Protocol):
    """Client of the platform's store.

    Calls raise :class:`PlatformUnavailableError` if they had no effect, and
    :class:`WriteOutcomeUnknownError` if a write may have taken effect.
    """

    async def read(self, table: str) -> StoredRows:
        """Return all rows of a table."""

    async def changes(
        self, table: str, after: StoreVersion, wait_s: float
    ) -> StoredRows:
        """Return the changes after a version, waiting up to ``wait_s`` for one.

        :raises HistoryGoneError: the store no longer has these changes.
        """

    async def write(
        self, table: str, value_by_key: dict[str, bytes], deleted_keys: list[str]
    ) -> StoredRows:
        """Write and delete rows in one transaction.

        :returns: the store's new version and its clock, without rows.
        """

    async def aclose(self) -> None:
        """Close the connection."""


class StoreSchema(t.Protocol):
    """Names of the store's tables and the formats of their rows."""

    configuration_table: str
    configuration_key: str
    endpoint_table: str
    instance_table: str

    def decode_configuration(self, value: bytes) -> RouteTable:
        """Decode the operator's configuration.

        :raises SettingsError: the configuration is malformed.
        """

    def evacuated_data_centre(self, key: str) -> DataCentre | None:
        """Return the data centre that a row of the configuration's table evacuates.

        ``None`` if the row is of another kind.
        """

    def decode_endpoint(self, key: str, value: bytes) -> ListedEndpoint:
        """Decode an entry of the endpoint list.

        :raises UnreadableInputError: it names no endpoint to use.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class HttpReply:
    """Status, complete body and headers of an HTTP response.

    :param headers: names are in lower case.
    """

    status: int
    body: bytes
    headers: Headers = dataclasses.field(default_factory=list)


class PersistentHttpClient(t.Protocol):
    """HTTP client that makes one call at a time over one persistent connection."""

    async def call(
        self, method: str, target: str, body: bytes | None, timeout_s: float
    ) -> HttpReply:
        """Send a request and return the response.

        :param target: path and query string.
        :raises NothingSentError: no byte of the request was written.
        :raises ExchangeBrokenError: the request was sent and not answered.
        """

    async def aclose(self) -> None:
        """Close the connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """A model engine's load report; it is a few hundred milliseconds old.

    :param slowdown: factor by which the engine is slower than its published speed.
    :param queued: number of waiting requests.
    :param running: number of running requests.
    :param kv_used_tokens: KV memory that can't be evicted, in tokens.
    """

    slowdown: float
    queued: int
    running: int
    kv_used_tokens: int


class HttpClientFactory(t.Protocol):
    """Returns an HTTP client for an address, ``host:port``."""

    def __call__(self, address: str) -> PersistentHttpClient: ...


class EngineControl(t.Protocol):
    """Reserves memory at model engines and reads their load reports.

    :ivar client_for: returns an HTTP client for an address, ``host:port``.
    :ivar on_notice: called with the address of an engine and what it says of itself
        beside any of its responses.
    """

    client_for: HttpClientFactory
    on_notice: t.Callable[[str, EndpointNotice], None]

    async def report(self, address: str) -> EngineReport:
        """Return an engine's load report."""

    async def reserve(self, address: str, id: str, tokens: int, hold_s: float) -> bool:
        """Reserve KV memory; return false if the engine refuses.

        :param hold_s: the engine drops the reservation after this time.
        """

    async def release(self, address: str, id: str) -> None:
        """Release the memory that was reserved under an id."""
