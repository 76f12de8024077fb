"""The settings, as a tree of the levels base, client account and service.

Each level inherits the values of its parent, and overrides some of them.
"""

import functools
import typing as t
from enum import Enum

import pydantic

from ..errors import NotFoundError, SettingsError
from ._ids import AccountId, DataCentre, EndpointId, ServiceId

POLICY_CACHE_SIZE = 4096


class StrictModel(pydantic.BaseModel):
    """Base of immutable models that refuse unknown keys."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Policy(StrictModel):
    """Limits of one client account at one service."""

    allowed_time_s: float = pydantic.Field(
        60, gt=0, description="Allowed time of a request that names none, in seconds."
    )
    max_allowed_time_s: float = pydantic.Field(
        600,
        gt=0,
        description="Longest allowed time that a request may name, in seconds.",
    )
    max_body_bytes: int = pydantic.Field(
        8_000_000, gt=0, description="Largest request body, in bytes."
    )
    max_output_tokens: int = pydantic.Field(
        4096, gt=0, description="Largest number of tokens in one answer."
    )
    max_attempts: int = pydantic.Field(
        4, ge=1, description="Largest number of attempts for one request."
    )
    requests_per_s: float = pydantic.Field(
        100_000, gt=0, description="Admitted requests per second, over all instances."
    )
    tokens_per_s: float = pydantic.Field(
        1_000_000_000,
        gt=0,
        description="Admitted tokens per second, over all instances.",
    )
    fleet_share: float = pydantic.Field(
        0.25,
        gt=0,
        le=1,
        description="Share of a service above which the account's prompts rank later.",
    )
    max_concurrent: int = pydantic.Field(
        1000, gt=0, description="Largest number of concurrent requests at one instance."
    )
    stall_s: float = pydantic.Field(
        3,
        gt=0,
        description="Longest silence on a stream before it is checked, in seconds.",
    )


PolicyOverrides = pydantic.create_model(
    "PolicyOverrides",
    __base__=StrictModel,
    **{
        name: (t.Annotated[(field.annotation, *field.metadata)] | None, None)
        for name, field in Policy.model_fields.items()
    },
)


class ServiceKind(Enum):
    """Type of the endpoints of a service."""

    MODEL = "model"
    PLAIN = "plain"


class OrderCheck(Enum):
    """Whether an endpoint refuses an order with an old fencing number."""

    CHECKED = "checked"
    UNCHECKED = "unchecked"


class Endpoint(StrictModel):
    """Address and capacity of one endpoint."""

    url: str = pydantic.Field(pattern=r"^http://[0-9.]+:\d+$")
    data_centre: DataCentre = DataCentre("")
    capacity_tokens: int = pydantic.Field(
        400_000, gt=0, description="Tokens of KV cache that the endpoint can hold."
    )
    prefill_tokens_per_s: float = pydantic.Field(
        20_000,
        gt=0,
        description="Initial estimate of the prefill rate, which is then learnt.",
    )
    withdrawn: bool = pydantic.Field(
        False, description="Whether the endpoint gets no new requests."
    )
    spare: bool = pydantic.Field(
        False, description="Whether it gets requests only once it has loaded the model."
    )
    orders: OrderCheck = pydantic.Field(
        OrderCheck.CHECKED,
        description="Whether it refuses orders with an old fencing number.",
    )


class Service(StrictModel):
    """A model service or plain service, and its endpoints by id."""

    kind: ServiceKind = ServiceKind.MODEL
    bytes_per_token: float = pydantic.Field(
        4,
        gt=0,
        description="Average size of a token, to estimate a prompt's length, in bytes.",
    )
    repeatable: bool = pydantic.Field(
        True, description="False if a call must run at most once per idempotency key."
    )
    outcome_path: str | None = pydantic.Field(
        None,
        description="Path of a plain service that returns the outcome of an attempt.",
    )
    cache_block_tokens: int = pydantic.Field(
        1024, gt=0, description="Tokens in one block of the engines' prefix cache."
    )
    wanted: int = pydantic.Field(
        0,
        ge=0,
        description="Number of live endpoints below which a spare loads the model.",
    )
    endpoints: dict[EndpointId, Endpoint] = {}

    @property
    def cache_block_bytes(self) -> int:
        """Size of one prefix cache block in bytes of prompt text."""
        return int(self.cache_block_tokens * self.bytes_per_token)

    @property
    def prefill_tokens_per_s(self) -> float:
        """Total prefill rate of all endpoints that are not withdrawn."""
        return sum(
            endpoint.prefill_tokens_per_s
            for endpoint in self.endpoints.values()
            if not endpoint.withdrawn
        )


class Account(StrictModel):
    """A client account: the hashes of its keys, and the values it overrides."""

    key_sha256: tuple[str, ...] = ()
    policy: PolicyOverrides = PolicyOverrides()
    services: dict[ServiceId, PolicyOverrides] = {}

    @pydantic.field_validator("policy", mode="after")
    @classmethod
    def _intern_policy(cls, policy: PolicyOverrides) -> PolicyOverrides:
        return _interned(policy)

    @pydantic.field_validator("services", mode="after")
    @classmethod
    def _intern_policies(
        cls, services: dict[ServiceId, PolicyOverrides]
    ) -> dict[ServiceId, PolicyOverrides]:
        return {name: _interned(policy) for name, policy in services.items()}


@functools.lru_cache(POLICY_CACHE_SIZE)
def _interned(policy: PolicyOverrides) -> PolicyOverrides:
    """Return one object for all equal policies, to save memory.

    Most accounts have the same policy.
    """
    return policy


class Tree(StrictModel):
    """The settings that are common to all instances."""

    base: PolicyOverrides = PolicyOverrides()
    services: dict[ServiceId, Service] = {}
    accounts: dict[AccountId, Account] = {}

    @pydantic.model_validator(mode="after")
    def check_services_exist(self) -> t.Self:
        """Refuse accounts that refer to a service that does not exist."""
        for account_id, account in self.accounts.items():
            for service_id in account.services:
                if service_id not in self.services:
                    raise ValueError(
                        f'service "{service_id}" does not exist, '
                        f'but client account "{account_id}" refers to it'
                    )
        return self

    def max_body_bytes(self, account_id: AccountId) -> int:
        """Return the largest body that the account may send to any service."""
        account = self.accounts[account_id]
        shared = account.policy.max_body_bytes or self.base.max_body_bytes
        own = [item.max_body_bytes or 0 for item in account.services.values()]
        return max([shared or Policy().max_body_bytes, *own])

    def policy(self, account_id: AccountId, service_id: ServiceId) -> Policy:
        """Return the effective policy of an account at a service."""
        items = self.explain(account_id, service_id)
        return Policy(**{item.name: item.value for item in items})

    def explain(
        self, account_id: AccountId, service_id: ServiceId
    ) -> list["EffectiveValue"]:
        """Return each effective value with the level that set it.

        :raises NotFoundError: the account or the service does not exist.
        """
        if account_id not in self.accounts:
            raise NotFoundError(f'client account "{account_id}" does not exist')
        if service_id not in self.services:
            raise NotFoundError(f'service "{service_id}" does not exist')
        account = self.accounts[account_id]
        levels = {
            "service": account.services.get(service_id, PolicyOverrides()),
            "client account": account.policy,
            "base": self.base,
        }
        return [
            _effective_value(name, field.default, levels)
            for name, field in Policy.model_fields.items()
        ]


class EffectiveValue(t.NamedTuple):
    """One value of a policy and the level that set it."""

    name: str
    value: t.Any
    level: str


def _effective_value(
    name: str, default: t.Any, levels: dict[str, t.Any]
) -> EffectiveValue:
    for level, overrides in levels.items():
        value = getattr(overrides, name)
        if value is not None:
            return EffectiveValue(name, value, level)
    return EffectiveValue(name, default, "default")


class Listen(StrictModel):
    """An address to listen on."""

    host: str = pydantic.Field("127.0.0.1", pattern=r"^[0-9.]+$")
    port: int = pydantic.Field(gt=0, lt=65536)

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class InstanceSettings(StrictModel):
    """Settings of one process, from its own settings file."""

    id: str = pydantic.Field(pattern=r"^[a-z0-9.-]+$")
    data_centre: DataCentre = DataCentre("")
    callers: Listen = pydantic.Field(description="Address for callers.")
    operators: Listen = pydantic.Field(description="Address for operators.")
    peers: Listen = pydantic.Field(description="Address for other instances.")
    seed_peers: tuple[Listen, ...] = pydantic.Field(
        (), description="Peers to contact first, to start without the platform."
    )
    platform_url: str = pydantic.Field(pattern=r"^http://[0-9.]+:\d+$")
    operator_key_sha256: dict[str, str] = pydantic.Field(
        {}, description="Hash of each operator's key, by operator."
    )
    max_requests: int = pydantic.Field(
        2000, gt=0, description="Largest number of concurrent requests on one address."
    )
    heartbeat_s: float = pydantic.Field(
        0.75, gt=0, description="Time between heartbeats to peers, in seconds."
    )
    gossip_fanout: int = pydantic.Field(
        3, gt=0, description="Number of peers that receive each heartbeat."
    )
    quote_fanout: int = pydantic.Field(
        6,
        gt=0,
        description="Number of endpoint owners that are asked for quotes per request.",
    )
    quote_timeout_s: float = pydantic.Field(
        0.02, gt=0, description="Longest wait for the owners' quotes, in seconds."
    )
    load_interval_s: float = pydantic.Field(
        0.5,
        gt=0,
        description="Time between two load reports of an endpoint, in seconds.",
    )
    settings_interval_s: float = pydantic.Field(
        2, gt=0, description="Time between two checks for a new revision, in seconds."
    )
    confirm_bound_s: float = pydantic.Field(
        8, gt=0, description="Longest time without a confirmed revision, in seconds."
    )
    drain_s: float = pydantic.Field(
        2,
        ge=0,
        description="Time from not ready to closing the listeners, in seconds.",
    )
    leave_bound_s: float = pydantic.Field(
        5,
        gt=0,
        description="Age above which an endpoint's report is ignored, in seconds.",
    )
    reap_grace_s: float = pydantic.Field(
        2,
        ge=0,
        description="Time from its deadline until an orphan is cancelled, in seconds.",
    )
    slow_caller_s: float = pydantic.Field(
        15,
        gt=0,
        description="Longest wait for a caller to send or receive bytes, in seconds.",
    )
    memory_mb: int = pydantic.Field(
        512, ge=160, description="Memory that the process may take, in MB."
    )
    head_timeout_s: float = pydantic.Field(
        10, gt=0, description="Longest time for the head of a request, in seconds."
    )
    max_connections: int = pydantic.Field(
        3000,
        ge=64,
        description="Largest number of open connections: three quarters for callers, "
        "an eighth each for operators and for other instances.",
    )
    trace_otlp_url: str | None = pydantic.Field(
        None,
        description="Where trace spans are sent; if unset, they are logged as JSON.",
    )


class SettingsFile(StrictModel):
    """One YAML file: the settings of the process, and the initial tree."""

    instance: InstanceSettings
    tree: Tree = Tree()


def read_model(model: type[StrictModel], data: t.Any, source: str) -> t.Any:
    """Validate ``data`` as an instance of ``model``.

    :param source: name of the file or change, used in the error.
    :raises SettingsError: names the source, the path and the reason.
    """
    try:
        return model.model_validate(data)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        path = ".".join(map(str, first["loc"])) or "(top)"
        raise SettingsError(f"{source}: {path}: {first['msg']}") from error
