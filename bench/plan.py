"""Plans of experiments, which are validated before a run."""

import pathlib
import typing as t
from enum import Enum

import pydantic

from foxtailsaddle.adapters import read_yaml
from foxtailsaddle.core import read_model
from foxtailsaddle.errors import SettingsError

SHORTEST_TOKENS = 1_000
LONG_TOKENS = 100_000


class Strict(pydantic.BaseModel):
    """An immutable model that rejects unknown keys."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class PolicyName(Enum):
    """Policies to choose an endpoint and the priority in the engine."""

    PRODUCT = "product"
    RANDOM = "random"
    ROUND_ROBIN = "round_robin"
    LEAST_REPORTED = "least_reported"
    LEAST_REPORTED_SHORTEST = "least_reported_shortest"
    OWN_DISPATCHES = "own_book"
    FIRST_VERSION = "first_version"
    ORACLE = "oracle"


class Mix(Strict):
    """Distribution of prompt lengths: log-normal, plus a share of long prompts."""

    median_tokens: float = pydantic.Field(4_000, gt=0)
    sigma: float = pydantic.Field(1.0, gt=0)
    long_share: float = pydantic.Field(0.02, ge=0, le=1)
    longest_tokens: int = pydantic.Field(1_000_000, gt=LONG_TOKENS)


class Fault(Strict):
    """A fault that is injected at a set time.

    :param at_s: seconds since the start of the arrivals.
    :param name: the instance or engine; empty for faults of the platform.
    """

    at_s: float = pydantic.Field(ge=0)
    action: t.Literal["kill", "start", "freeze", "thaw", "platform_down", "platform_up"]
    name: str = ""


class Plan(Strict):
    """One experiment; each policy runs with the same arrivals for each load.

    :param warm_up_s: arrivals before this time are left out of the results.
    :param load_lag_s: maximum age of the engines' load reports, in seconds.
    :param allowed_s: allowed time of each request, in seconds.
    :param loads: offered prefill work over the capacity of the engines.
    :param burst: rate of arrivals during bursts over the mean rate; 1 for none.
    :param accounts: share of the arrivals by client account.
    :param instance: replaces settings of each instance.
    """

    seed: int = 1
    duration_s: float = pydantic.Field(60, gt=0)
    warm_up_s: float = pydantic.Field(10, ge=0)
    instances: int = pydantic.Field(7, gt=0)
    engines: int = pydantic.Field(25, gt=0)
    capacity_tokens: int = pydantic.Field(2_000_000, gt=0)
    load_lag_s: float = pydantic.Field(0.5, ge=0)
    latency_s: float = pydantic.Field(0.0005, ge=0)
    output_tokens: int = pydantic.Field(8, gt=0)
    allowed_s: float = pydantic.Field(300, gt=0)
    loads: tuple[float, ...] = (0.7,)
    burst: float = pydantic.Field(1.0, ge=1)
    mix: Mix = Mix()
    policies: tuple[PolicyName, ...] = tuple(PolicyName)
    without_long: bool = pydantic.Field(
        True, description="Run each policy again without the long prompts."
    )
    accounts: dict[str, float] = {"inspector": 1.0}
    faults: tuple[Fault, ...] = ()
    instance: dict[str, t.Any] = {}

    @pydantic.model_validator(mode="after")
    def _check(self) -> t.Self:
        if any(not 0 < load <= 10 for load in self.loads):
            raise ValueError("loads: each must be above 0 and at most 10")
        names = {f"e{n + 1}" for n in range(self.engines)}
        names |= {f"i{n + 1}" for n in range(self.instances)}
        for fault in self.faults:
            if fault.name and fault.name not in names:
                raise ValueError(f'faults: stand-in "{fault.name}" does not exist')
        return self


def read_plan(path: str) -> Plan:
    """Read and validate a plan from a YAML file.

    :raises SettingsError: the file is missing or invalid; the message names the
        file, the path in it and the reason.
    """
    if not pathlib.Path(path).exists():
        raise SettingsError(f"{path}: No such file or directory")
    return read_model(Plan, read_yaml(path) or {}, path)
