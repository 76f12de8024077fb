"""Chooses endpoints by asking the instances that track their load."""

import dataclasses
import logging

import trio

from ..core import (
    Endpoint,
    EndpointId,
    InstanceId,
    Liveness,
    Members,
    Placement,
    PrefillQueue,
    PrefixIndex,
    Probe,
    Quote,
    ServiceId,
    Tree,
    choose_quote,
    owner_of,
    prompt_rank,
)
from ..ports import Failed, Placed, Prefilled, QuoteReply, QuoteRequest, Released
from ._environment import Environment
from ._settings_manager import SettingsManager

logger = logging.getLogger("foxtailsaddle.routing")

CROSS_DATA_CENTRE_PENALTY_S = 0.001
OWNER_MAP_MAX_AGE_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingRequest:
    """The requirements of a prompt or plain call that needs an endpoint.

    :param tokens: estimated length of the prompt; 1 for a plain call.
    :param held_tokens: most tokens of KV cache that it can occupy.
    :param rank_wait_s: seconds of waiting that count for its priority at the engine;
        negative lowers the priority.
    :param failed_endpoints: endpoints where an attempt failed, to be avoided.
    :param is_suspect: an endpoint crashed while it ran this prompt.
    :param probes: prefixes of the prompt, to look up in the engines' caches.
    """

    service: ServiceId
    tokens: int
    held_tokens: int
    rank_wait_s: float = 0.0
    failed_endpoints: frozenset[EndpointId] = frozenset()
    is_suspect: bool = False
    probes: tuple[Probe, ...] = ()


@dataclasses.dataclass(slots=True)
class _OwnerMap:
    """A cache of the instance that owns each endpoint.

    It is valid for one settings revision and one list of live instances.

    :param owners: the instances that can own endpoints.
    :param checked_at: when revision and owners were last compared with the current
        ones, in seconds of the instance's clock.
    """

    revision: int
    owners: list[InstanceId]
    checked_at: float
    owner_by_endpoint: dict[EndpointId, InstanceId] = dataclasses.field(
        default_factory=dict
    )
    endpoints_by_owner_by_service: dict[
        ServiceId, dict[InstanceId, list[EndpointId]]
    ] = dataclasses.field(default_factory=dict)


class Router:
    """Tracks the load of endpoints and routes prompts to them.

    Each endpoint is owned by one instance, which keeps a complete prefill queue
    of the attempts placed there. For endpoints that others own, the local queue
    contains only what this instance placed; it is used while the owner does not
    answer.
    """

    def __init__(
        self,
        env: Environment,
        settings_manager: SettingsManager,
        members: Members,
        liveness: Liveness,
    ) -> None:
        self._env = env
        self._settings_manager = settings_manager
        self._members = members
        self._liveness = liveness
        self._prefill_queue_by_endpoint: dict[EndpointId, PrefillQueue] = {}
        self._prefixes_by_endpoint: dict[EndpointId, PrefixIndex] = {}
        self._owner_map = _OwnerMap(-1, [], float("-inf"))

    async def choose(self, routing_request: RoutingRequest) -> Quote | None:
        """Return the best quote among this instance and a sample of other owners.

        An owner that does not answer in time is replaced by the local prefill queues.
        """
        by_owner = dict(self._endpoints_by_owner(routing_request.service))
        own_id = self._members.own.id
        quotes = self._quote_all(by_owner.pop(own_id, []), routing_request)
        sampled_owners = self._sample_owners(by_owner)
        async with trio.open_nursery() as nursery:
            for owner in sampled_owners:
                nursery.start_soon(
                    self._ask_owner, owner, by_owner[owner], routing_request, quotes
                )
        choose_random = self._env.random.choice
        return choose_quote(quotes, choose_random, self._data_centre_penalty_s)

    def answer_quote_request(self, request: QuoteRequest) -> QuoteReply:
        """Return the best quote among the endpoints that this instance owns."""
        routing_request = RoutingRequest(
            service=ServiceId(request.service),
            tokens=request.tokens,
            held_tokens=request.held_tokens,
            rank_wait_s=request.waited_s,
            failed_endpoints=frozenset(map(EndpointId, request.without)),
            is_suspect=request.suspect,
            probes=tuple(
                Probe(blocks, digest)
                for blocks, digest in zip(
                    request.probe_blocks, request.probe_digests, strict=True
                )
            ),
        )
        own_endpoints = self._endpoints_by_owner(routing_request.service).get(
            self._members.own.id, []
        )
        choose_random = self._env.random.choice
        quote = choose_quote(
            self._quote_all(own_endpoints, routing_request),
            choose_random,
            lambda _: 0.0,
        )
        if quote is None:
            return QuoteReply("", 0.0, 0.0, 0.0, 0, "")
        return QuoteReply(
            quote.endpoint,
            quote.wait_s,
            quote.own_s,
            quote.behind_s,
            quote.cached_tokens,
            quote.incarnation,
        )

    def report_placed(self, placed: Placed) -> None:
        """Record a placement here and report it to the endpoint's owner."""
        self.record_placed(placed)
        self._tell_owner(placed)

    def report_prefilled(self, endpoint: EndpointId, attempt: str) -> None:
        """Record the first token here and report it to the endpoint's owner."""
        self.record_prefilled(Prefilled(endpoint, attempt))
        self._tell_owner(Prefilled(endpoint, attempt))

    def report_released(self, endpoint: EndpointId, attempt: str) -> None:
        """Record the end of an attempt and report it to the endpoint's owner."""
        self.record_released(Released(endpoint, attempt))
        self._tell_owner(Released(endpoint, attempt))

    def record_placed(self, placed: Placed) -> None:
        """Record a placement in the endpoint's prefill queue."""
        now = self._env.clock.now()
        queue = self.prefill_queue(placed.endpoint)
        if queue is None:
            return
        arrived_at = now - placed.waited_s
        placement = Placement(
            prompt_tokens=placed.prompt_tokens,
            remaining_tokens=placed.prompt_tokens,
            held_tokens=placed.held_tokens,
            rank=prompt_rank(arrived_at, placed.prompt_tokens, queue.rate),
            expires_at=now + placed.left_s,
            suspect=placed.suspect,
        )
        queue.place(placed.attempt, placement, now)

    def record_prefilled(self, message: Prefilled) -> None:
        """Record the first token of an attempt."""
        queue = self.prefill_queue(message.endpoint)
        if queue is not None:
            queue.record_first_token(message.attempt, self._env.clock.now())

    def record_released(self, message: Released) -> None:
        """Record the end of an attempt."""
        queue = self.prefill_queue(message.endpoint)
        if queue is not None:
            queue.release(message.attempt, self._env.clock.now())

    def prefill_queue(self, endpoint: EndpointId) -> PrefillQueue | None:
        """Return an endpoint's prefill queue, ``None`` if it isn't in the settings."""
        queue = self._prefill_queue_by_endpoint.get(endpoint)
        if queue is not None:
            return queue
        endpoint_settings = self.find_endpoint(endpoint)
        if endpoint_settings is None:
            return None
        queue = PrefillQueue(
            endpoint,
            endpoint_settings.prefill_tokens_per_s,
            endpoint_settings.capacity_tokens,
        )
        queue.updated_at = self._env.clock.now()
        self._prefill_queue_by_endpoint[endpoint] = queue
        return queue

    def zero_wait_quote(self, endpoint: EndpointId) -> Quote:
        """Return a quote with zero predicted times, for an endpoint already chosen."""
        incarnation = self._liveness.incarnation(endpoint)
        return Quote(endpoint, 0.0, 0.0, incarnation=incarnation)

    def report_failed(self, endpoint: EndpointId) -> None:
        """Route no new work to a failed endpoint; report the failure to its owner."""
        message = Failed(endpoint)
        self.record_failed(message)
        self._tell_owner(message)

    def record_failed(self, message: Failed) -> None:
        """Route no new work to the endpoint until a later report of it arrives."""
        self._liveness.failed(message.endpoint, self._env.clock.now())

    def find_endpoint(self, endpoint: EndpointId) -> Endpoint | None:
        """Return an endpoint's settings, searching all services."""
        for service in self._tree.services.values():
            if endpoint in service.endpoints:
                return service.endpoints[endpoint]
        return None

    def owner(self, endpoint: EndpointId) -> InstanceId:
        """Return the instance that owns the endpoint."""
        owner_map = self._current_owners()
        owner = owner_map.owner_by_endpoint.get(endpoint)
        if owner is None:
            owner = InstanceId(owner_of(endpoint, owner_map.owners))
            owner_map.owner_by_endpoint[endpoint] = owner
        return owner

    def _endpoints_by_owner(
        self, service: ServiceId
    ) -> dict[InstanceId, list[EndpointId]]:
        """Return a service's endpoints by their owner."""
        owner_map = self._current_owners()
        by_owner = owner_map.endpoints_by_owner_by_service.get(service)
        if by_owner is None:
            by_owner = {}
            for endpoint in self.endpoints(service):
                by_owner.setdefault(self.owner(endpoint), []).append(endpoint)
            owner_map.endpoints_by_owner_by_service[service] = by_owner
        return by_owner

    def _current_owners(self) -> _OwnerMap:
        """Return the cached owners, checked at most ``OWNER_MAP_MAX_AGE_S`` ago."""
        now = self._env.clock.now()
        owner_map = self._owner_map
        revision = self._settings_manager.log.number
        if (
            owner_map.revision == revision
            and now - owner_map.checked_at < OWNER_MAP_MAX_AGE_S
        ):
            return owner_map
        owners = self._members.owners(now)
        if (owner_map.revision, owner_map.owners) != (revision, owners):
            owner_map = self._owner_map = _OwnerMap(revision, owners, now)
        owner_map.checked_at = now
        return owner_map

    @property
    def _tree(self) -> Tree:
        return self._settings_manager.log.tree

    def endpoints(self, service: ServiceId) -> dict[EndpointId, Endpoint]:
        """Return a service's endpoints that are not withdrawn, by id."""
        service_settings = self._tree.services.get(service)
        if service_settings is None:
            return {}
        return {
            endpoint_id: endpoint
            for endpoint_id, endpoint in service_settings.endpoints.items()
            if not endpoint.withdrawn
        }

    def _quote_all(
        self, endpoints: list[EndpointId], routing_request: RoutingRequest
    ) -> list[Quote]:
        quotes = (self._quote(endpoint, routing_request) for endpoint in endpoints)
        return [quote for quote in quotes if quote is not None]

    def _quote(
        self, endpoint: EndpointId, routing_request: RoutingRequest
    ) -> Quote | None:
        now = self._env.clock.now()
        queue = self.prefill_queue(endpoint)
        if queue is None or endpoint in routing_request.failed_endpoints:
            return None
        if not self._liveness.may_get_work(endpoint, now):
            return None
        if routing_request.held_tokens > queue.capacity_tokens:
            return None
        if routing_request.is_suspect and queue.has_suspect:
            return None
        cached = self._cached_tokens(endpoint, routing_request)
        tokens = routing_request.tokens - cached
        rank = prompt_rank(now - routing_request.rank_wait_s, tokens, queue.rate)
        quote = queue.quote(tokens, routing_request.held_tokens, rank, now)
        return dataclasses.replace(
            quote,
            cached_tokens=cached,
            incarnation=self._liveness.incarnation(endpoint),
        )

    def prefixes(self, endpoint: EndpointId) -> PrefixIndex:
        """Return the index of the prefixes that an endpoint has cached."""
        return self._prefixes_by_endpoint.setdefault(endpoint, PrefixIndex())

    def _cached_tokens(
        self, endpoint: EndpointId, routing_request: RoutingRequest
    ) -> int:
        if not routing_request.probes:
            return 0
        block_tokens = self._tree.services[routing_request.service].cache_block_tokens
        blocks = self.prefixes(endpoint).cached_blocks(routing_request.probes)
        return min(blocks * block_tokens, routing_request.tokens - 1)

    def _sample_owners(
        self, by_owner: dict[InstanceId, list[EndpointId]]
    ) -> list[InstanceId]:
        owners = list(by_owner)
        fanout = self._env.settings.quote_fanout
        if len(owners) <= fanout:
            return owners
        return self._env.random.sample(owners, fanout)

    async def _ask_owner(
        self,
        owner: InstanceId,
        endpoints: list[EndpointId],
        routing_request: RoutingRequest,
        quotes: list[Quote],
    ) -> None:
        member = self._members.get(owner)
        if member is None:
            quotes.extend(self._quote_all(endpoints, routing_request))
            return
        request = QuoteRequest(
            service=routing_request.service,
            tokens=routing_request.tokens,
            held_tokens=routing_request.held_tokens,
            waited_s=routing_request.rank_wait_s,
            without=tuple(sorted(routing_request.failed_endpoints)),
            suspect=routing_request.is_suspect,
            probe_blocks=tuple(probe.blocks for probe in routing_request.probes),
            probe_digests=tuple(probe.digest for probe in routing_request.probes),
        )
        timeout_s = self._env.settings.quote_timeout_s
        reply = await self._env.links.ask(member, request, timeout_s)
        if not isinstance(reply, QuoteReply):
            quotes.extend(self._quote_all(endpoints, routing_request))
            return
        if reply.endpoint in endpoints:
            endpoint = EndpointId(reply.endpoint)
            quotes.append(
                Quote(
                    endpoint,
                    reply.wait_s,
                    reply.own_s,
                    reply.behind_s,
                    reply.cached_tokens,
                    reply.incarnation,
                )
            )

    def _tell_owner(self, message: Placed | Prefilled | Released | Failed) -> None:
        owner = self.owner(message.endpoint)
        if owner == self._members.own.id:
            return
        member = self._members.get(owner)
        if member is not None:
            self._env.links.tell(member, message)

    def _data_centre_penalty_s(self, quote: Quote) -> float:
        endpoint = self.find_endpoint(quote.endpoint)
        if endpoint is None or endpoint.data_centre == self._env.settings.data_centre:
            return 0.0
        return CROSS_DATA_CENTRE_PENALTY_S
