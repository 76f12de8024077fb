"""Everything an instance's parts need, in one object that is passed on."""

import dataclasses
import random
import typing as t

if t.TYPE_CHECKING:
    from opentelemetry import trace

    from ..adapters import Metrics
    from ..core import InstanceSettings
    from ..ports import (
        Clock,
        ModelEndpoints,
        PeerLinks,
        PlainEndpoints,
        Platform,
        WebServer,
    )


@dataclasses.dataclass(slots=True)
class Environment:
    """Settings of one instance and the adapters that it speaks through.

    :param incarnation: names this run of the process; a later one sorts higher.
    """

    settings: "InstanceSettings"
    incarnation: str
    clock: "Clock"
    platform: "Platform"
    models: "ModelEndpoints"
    plain: "PlainEndpoints"
    links: "PeerLinks"
    web: "WebServer"
    metrics: "Metrics"
    tracer: "trace.Tracer"
    random: random.Random


def new_incarnation(wall_ms: int, rng: random.Random) -> str:
    """Return a name for a run of a process that sorts after earlier ones."""
    return f"{wall_ms:013d}{rng.getrandbits(24):06x}"
