"""Checks that all instances know the same once nothing disturbs them any more."""

import dataclasses
import re
import typing as t

from foxtailsaddle.cli._serve_platform import METRICS_PORT
from foxtailsaddle.errors import FoxtailsaddleError
from foxtailsaddle.forward import KeepAliveHttpClient
from foxtailsaddle.forward.peers import Snapshot, decode_snapshot

TIMEOUT_S = 2.0
INCOMPLETE_PEERS = rb'(?m)^state{name="incomplete_peers"} (\S+)$'


@dataclasses.dataclass(frozen=True)
class Knowledge:
    """What an instance knows, as far as all have to agree on it."""

    configuration: bytes
    entries: t.Mapping[str, bytes]
    evacuated: tuple[str, ...]


async def count_incomplete_peers(host: str) -> int | None:
    """Return of how many others an instance lacks updates, ``None`` if it is silent.

    :raises ValueError: its page of metrics doesn't say.
    """
    client = KeepAliveHttpClient(f"{host}:{METRICS_PORT}")
    try:
        reply = await client.call("GET", "/metrics", None, TIMEOUT_S)
    except FoxtailsaddleError:
        return None
    finally:
        await client.aclose()
    found = re.search(INCOMPLETE_PEERS, reply.body)
    if found is None:
        raise ValueError(f'"{host}" has no gauge of its incomplete peers')
    return int(float(found[1]))


async def read_knowledge(control_address: str) -> Knowledge | None:
    """Return what an instance knows, ``None`` if it gives no answer."""
    client = KeepAliveHttpClient(control_address)
    try:
        reply = await client.call("GET", "/snapshot", None, TIMEOUT_S)
        snapshot: Snapshot = decode_snapshot(reply.body)
    except FoxtailsaddleError:
        return None
    finally:
        await client.aclose()
    return Knowledge(
        snapshot.configuration_row,
        snapshot.endpoint_rows,
        tuple(snapshot.evacuated.data_centres),
    )


def disagreements(knowledge_by_instance: t.Mapping[str, Knowledge]) -> list[str]:
    """Return a sentence for each instance that knows something else than the first."""
    if not knowledge_by_instance:
        return []
    first, *others = knowledge_by_instance
    expected = knowledge_by_instance[first]
    return [
        f"{other} and {first} disagree about {_differences(expected, known)}"
        for other in others
        if (known := knowledge_by_instance[other]) != expected
    ]


def _differences(one: Knowledge, other: Knowledge) -> str:
    keys = one.entries.keys() | other.entries.keys()
    differing = [k for k in keys if one.entries.get(k) != other.entries.get(k)]
    names = [
        field.name
        for field in dataclasses.fields(Knowledge)
        if getattr(one, field.name) != getattr(other, field.name)
    ]
    return f"{', '.join(names)}: {sorted(differing)}"
