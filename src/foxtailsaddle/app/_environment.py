"""The settings and adapters that the components of an instance share."""

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
    """Settings and adapters of one instance.

    :param web: serves callers.
    :param operator_web: serves operators.
    :param incarnation: identifies this run of the process; later ones sort higher.
    """

    settings: "InstanceSettings"
    incarnation: str
    clock: "Clock"
    platform: "Platform"
    models: "ModelEndpoints"
    plain: "PlainEndpoints"
    links: "PeerLinks"
    web: "WebServer"
    operator_web: "WebServer"
    metrics: "Metrics"
    tracer: "trace.Tracer"
    random: random.Random


def new_incarnation(wall_ms: int, rng: random.Random) -> str:
    """Return an identifier for a run of the process; later ones sort higher."""
    return f"{wall_ms:013d}{rng.getrandbits(24):06x}"
