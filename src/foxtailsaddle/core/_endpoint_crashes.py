"""Evidence that an endpoint crashed, rather than lost a connection or left.

Load pattern: the process of an endpoint ends under its requests and is back after
some seconds, sometimes sooner, under another id or with a later start.
"""

import dataclasses
from enum import Enum

from ._endpoint_list import EndpointList, EndpointState, ListedEndpoint


class CrashEvidence(Enum):
    """What proves that the process of an endpoint has ended."""

    REFUSED = "connection refused"
    RESTARTED = "a later process is listed"
    MISDIRECTED = "another endpoint answers at the address"


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointCrash:
    """The crash of one incarnation of an endpoint.

    :param broken_at: when the first connection to it broke.
    """

    endpoint: ListedEndpoint
    broken_at: float
    evidence: CrashEvidence


def may_have_crashed(entry: ListedEndpoint, endpoints: EndpointList) -> bool:
    """Return whether an endpoint whose connection has just broken may have crashed.

    One that leaves as planned is listed as draining first, or no longer listed.
    """
    listed = endpoints.get(entry.id)
    return listed is not None and listed.state is EndpointState.READY


def is_draining(entry: ListedEndpoint, endpoints: EndpointList) -> bool:
    """Return whether this incarnation of an endpoint is listed as draining."""
    listed = endpoints.get(entry.id)
    return (
        listed is not None
        and listed.incarnation == entry.incarnation
        and listed.state is EndpointState.DRAINING
    )
