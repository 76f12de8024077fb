"""The other instances, and which of them are heard at present."""

import math
import random

import trio

from ...core import EndpointId, InstanceId, owner_of
from ._peer import Peer

HEARTBEAT_S = 1.0
READER_TIMEOUT_S = 1.7
PEERS_PER_HEARTBEAT_S = 30.0  # a larger fleet sends its heartbeats less often
TIMEOUT_HEARTBEATS = 3.5
MAX_DIRECT_SENDS = 8  # of a long message
LARGE_FLEET_PEERS = 16  # more peers receive in batches, and plain calls aren't sent
NO_INSTANCE = InstanceId("")


class HeardPeers:
    """Knows the other instances of the fleet.

    :param instance: this instance.
    :ivar leaving: this instance is about to stop.
    """

    def __init__(self, instance: InstanceId) -> None:
        self._instance = instance
        self._peer_by_id: dict[InstanceId, Peer] = {}
        self.leaving = False

    @property
    def _heartbeat_s(self) -> float:
        return max(HEARTBEAT_S, len(self._peer_by_id) / PEERS_PER_HEARTBEAT_S)

    @property
    def _peer_timeout_s(self) -> float:
        return TIMEOUT_HEARTBEATS * self._heartbeat_s

    @property
    def is_large_fleet(self) -> bool:
        """Whether there are so many instances that they tell each other less."""
        return len(self._peer_by_id) > LARGE_FLEET_PEERS

    def live(self) -> list[Peer]:
        """Return the other instances whose datagrams still arrive."""
        heard_since = trio.current_time() - self._peer_timeout_s
        return [
            peer
            for peer in self._peer_by_id.values()
            if peer.last_heard_at and peer.last_heard_at >= heard_since
        ]

    def is_process(self, instance: InstanceId, incarnation: str) -> bool:
        """Return whether another instance's present process has this number."""
        peer = self._peer_by_id.get(instance)
        return (
            peer is not None
            and bool(peer.incarnation)
            and incarnation == str(peer.incarnation)
        )

    def has_relays(self) -> bool:
        """Return whether other instances are known that could relay connections.

        They may be out of reach at present.
        """
        return any(peer.control_address for peer in self._peer_by_id.values())

    def store_readers(self) -> list[Peer]:
        """Return the other instances that follow the store at present."""
        now = trio.current_time()
        return [
            peer
            for peer in self._peer_by_id.values()
            if peer.reads_store and now - peer.last_heard_at <= READER_TIMEOUT_S
        ]

    def count_live_instances(self) -> int:
        """Return the number of live instances, this one included."""
        return 1 + len(self.live())

    def known_ids(self) -> list[InstanceId]:
        """Return the other instances that are known, also those not heard yet."""
        return list(self._peer_by_id)

    def groups(self) -> list[list[InstanceId]]:
        """Return the live instances of this build in groups, in random order.

        A long message goes to the first of each group, which passes it on: sent to all
        at once, it would fill the link of its sender, which drops datagrams then.
        """
        ids = [peer.id for peer in self.live() if peer.bounds_cold_starts]
        random.shuffle(ids)
        size = math.ceil(math.sqrt(len(ids))) if len(ids) > MAX_DIRECT_SENDS else 1
        return [ids[start : start + size] for start in range(0, len(ids), size)]

    def granting_instance(
        self,
        endpoint: EndpointId,
        passed_over: InstanceId = NO_INSTANCE,
        is_cold: bool = False,
    ) -> InstanceId:
        """Return the instance that grants requests to an endpoint with a limit.

        :param passed_over: is left out.
        :param is_cold: the limit is that of a cold endpoint. Instances of an earlier
            build grant none there.
        """
        members = [
            peer.id
            for peer in self.live()
            if not peer.leaving and (peer.bounds_cold_starts or not is_cold)
        ]
        if not self.leaving:
            members.append(self._instance)
        others = [member for member in members if member != passed_over]
        return owner_of(endpoint, others) or self._instance

    def heard_share(self) -> float:
        """Return the share of the known instances that keep to bounds with this one.

        Those that aren't heard may serve callers of their own.
        """
        heard = sum(peer.bounds_cold_starts for peer in self.live())
        known = sum(
            not peer.leaving for peer in self._peer_by_id.values() if peer.last_heard_at
        )
        return min(1.0, (1 + heard) / (1 + known))

    def hears_others(self) -> bool:
        """Return whether another instance is heard, or none is known."""
        has_known = any(peer.last_heard_at for peer in self._peer_by_id.values())
        return not has_known or bool(self.live())

    def _is_live(self, peer: Peer) -> bool:
        silent_s = trio.current_time() - peer.last_heard_at
        return bool(peer.last_heard_at) and silent_s <= self._peer_timeout_s
