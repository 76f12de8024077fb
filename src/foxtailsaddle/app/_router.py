"""Chooses endpoints by asking the owners of their books."""

import dataclasses
import logging

import trio

from ..core import (
    Book,
    Endpoint,
    EndpointId,
    InstanceId,
    Liveness,
    Members,
    Placement,
    PrefixIndex,
    Probe,
    Quote,
    ServiceId,
    Tree,
    best,
    owner_of,
    rank_of,
)
from ..ports import Failed, Placed, Prefilled, QuoteReply, QuoteRequest, Released
from ._environment import Environment
from ._settings_keeper import SettingsKeeper

logger = logging.getLogger("foxtailsaddle.routing")

OTHER_DATA_CENTRE_S = 0.001
OWNER_MAP_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Wish:
    """A prompt that looks for an endpoint.

    :param probes: prefixes of the prompt, to look for in the engines' caches.
    :param waited_s: seconds since it was admitted.
    :param without: endpoints that have failed it.
    :param suspect: an endpoint died while it ran this prompt.
    """

    service: ServiceId
    tokens: int
    held_tokens: int
    waited_s: float = 0.0
    without: frozenset[EndpointId] = frozenset()
    suspect: bool = False
    probes: tuple[Probe, ...] = ()


@dataclasses.dataclass(slots=True)
class _OwnerMap:
    """Who owns which endpoint, under one revision and one view of the owners."""

    revision: int
    owners: list[InstanceId]
    checked_at: float
    by_endpoint: dict[EndpointId, InstanceId] = dataclasses.field(default_factory=dict)
    owned_by_service: dict[ServiceId, dict[InstanceId, list[EndpointId]]] = (
        dataclasses.field(default_factory=dict)
    )


class Router:
    """Keeps books, its own endpoints' exactly, and asks others for theirs.

    The book of an endpoint that another instance owns holds only what this
    instance placed; it serves while that owner does not answer.
    """

    def __init__(
        self,
        env: Environment,
        keeper: SettingsKeeper,
        members: Members,
        liveness: Liveness,
    ) -> None:
        self._env = env
        self._keeper = keeper
        self._members = members
        self._liveness = liveness
        self._book_by_endpoint: dict[EndpointId, Book] = {}
        self._prefixes_by_endpoint: dict[EndpointId, PrefixIndex] = {}
        self._owner_map = _OwnerMap(-1, [], float("-inf"))

    async def choose(self, wish: Wish) -> Quote | None:
        """Return the best quote of all owners that answer in time."""
        by_owner = dict(self._owned(wish.service))
        own_id = self._members.own.id
        quotes = self._quote_all(by_owner.pop(own_id, []), wish)
        asked = self._sample(by_owner)
        async with trio.open_nursery() as nursery:
            for owner in asked:
                nursery.start_soon(self._ask, owner, by_owner[owner], wish, quotes)
        pick = self._env.random.choice
        return best(quotes, pick, self._distance_s)

    def answer(self, request: QuoteRequest) -> QuoteReply:
        """Return the best of the endpoints that this instance owns."""
        wish = Wish(
            service=ServiceId(request.service),
            tokens=request.tokens,
            held_tokens=request.held_tokens,
            waited_s=request.waited_s,
            without=frozenset(map(EndpointId, request.without)),
            suspect=request.suspect,
            probes=tuple(
                Probe(blocks, digest)
                for blocks, digest in zip(
                    request.probe_blocks, request.probe_digests, strict=True
                )
            ),
        )
        owned = self._owned(wish.service).get(self._members.own.id, [])
        pick = self._env.random.choice
        quote = best(self._quote_all(owned, wish), pick, lambda _: 0.0)
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

    def place(self, placed: Placed) -> None:
        """Write a placement into the own book and tell the owner."""
        self.note_placed(placed)
        self._tell_owner(placed)

    def prefilled(self, endpoint: EndpointId, attempt: str) -> None:
        """Record the first token and tell the owner."""
        self.note_prefilled(Prefilled(endpoint, attempt))
        self._tell_owner(Prefilled(endpoint, attempt))

    def release(self, endpoint: EndpointId, attempt: str) -> None:
        """Record the end of an attempt and tell the owner."""
        self.note_released(Released(endpoint, attempt))
        self._tell_owner(Released(endpoint, attempt))

    def note_placed(self, placed: Placed) -> None:
        """Write a placement into the book."""
        now = self._env.clock.now()
        book = self.book(placed.endpoint)
        if book is None:
            return
        arrived_at = now - placed.waited_s
        placement = Placement(
            prompt_tokens=placed.prompt_tokens,
            remaining=placed.prompt_tokens,
            held_tokens=placed.held_tokens,
            rank=rank_of(arrived_at, placed.prompt_tokens, book.rate),
            until=now + placed.left_s,
            suspect=placed.suspect,
        )
        book.place(placed.attempt, placement, now)

    def note_prefilled(self, message: Prefilled) -> None:
        """Record the first token of an attempt."""
        book = self.book(message.endpoint)
        if book is not None:
            book.prefilled(message.attempt, self._env.clock.now())

    def note_released(self, message: Released) -> None:
        """Record the end of an attempt."""
        book = self.book(message.endpoint)
        if book is not None:
            book.release(message.attempt, self._env.clock.now())

    def book(self, endpoint: EndpointId) -> Book | None:
        """Return the book of an endpoint that the settings know."""
        book = self._book_by_endpoint.get(endpoint)
        if book is not None:
            return book
        found = self.find(endpoint)
        if found is None:
            return None
        book = Book(endpoint, found.prefill_tokens_per_s, found.capacity_tokens)
        book.updated_at = self._env.clock.now()
        self._book_by_endpoint[endpoint] = book
        return book

    def unranked_quote(self, endpoint: EndpointId) -> Quote:
        """Return a quote for an endpoint that was chosen by other means."""
        incarnation = self._liveness.incarnation(endpoint)
        return Quote(endpoint, 0.0, 0.0, incarnation=incarnation)

    def failed(self, endpoint: EndpointId) -> None:
        """Keep new work away from an endpoint that failed; tell its owner."""
        message = Failed(endpoint)
        self.note_failed(message)
        self._tell_owner(message)

    def note_failed(self, message: Failed) -> None:
        """Keep new work away until the endpoint gives a later word."""
        self._liveness.failed(message.endpoint, self._env.clock.now())

    def find(self, endpoint: EndpointId) -> Endpoint | None:
        """Return an endpoint's settings, whatever its service."""
        for service in self._tree.services.values():
            if endpoint in service.endpoints:
                return service.endpoints[endpoint]
        return None

    def owner(self, endpoint: EndpointId) -> InstanceId:
        """Return the instance that owns the endpoint's book."""
        current = self._current_owners()
        owner = current.by_endpoint.get(endpoint)
        if owner is None:
            owner = InstanceId(owner_of(endpoint, current.owners))
            current.by_endpoint[endpoint] = owner
        return owner

    def _owned(self, service: ServiceId) -> dict[InstanceId, list[EndpointId]]:
        """Return a service's endpoints by their owner."""
        current = self._current_owners()
        owned = current.owned_by_service.get(service)
        if owned is None:
            owned = {}
            for endpoint in self.endpoints(service):
                owned.setdefault(self.owner(endpoint), []).append(endpoint)
            current.owned_by_service[service] = owned
        return owned

    def _current_owners(self) -> _OwnerMap:
        """Return the map of owners; the view behind it may be a moment old."""
        now = self._env.clock.now()
        current = self._owner_map
        revision = self._keeper.log.number
        if current.revision == revision and now - current.checked_at < OWNER_MAP_S:
            return current
        owners = self._members.owners(now)
        if (current.revision, current.owners) != (revision, owners):
            current = self._owner_map = _OwnerMap(revision, owners, now)
        current.checked_at = now
        return current

    @property
    def _tree(self) -> Tree:
        return self._keeper.log.tree

    def endpoints(self, service: ServiceId) -> dict[EndpointId, Endpoint]:
        """Return a service's endpoints that are not withdrawn, by id."""
        found = self._tree.services.get(service)
        if found is None:
            return {}
        return {
            endpoint_id: endpoint
            for endpoint_id, endpoint in found.endpoints.items()
            if not endpoint.withdrawn
        }

    def _quote_all(self, endpoints: list[EndpointId], wish: Wish) -> list[Quote]:
        quotes = (self._quote(endpoint, wish) for endpoint in endpoints)
        return [quote for quote in quotes if quote is not None]

    def _quote(self, endpoint: EndpointId, wish: Wish) -> Quote | None:
        now = self._env.clock.now()
        book = self.book(endpoint)
        if book is None or endpoint in wish.without:
            return None
        if not self._liveness.may_get_work(endpoint, now):
            return None
        if wish.held_tokens > book.capacity_tokens:
            return None
        if wish.suspect and book.has_suspect:
            return None
        cached = self._cached_tokens(endpoint, wish)
        tokens = wish.tokens - cached
        rank = rank_of(now - wish.waited_s, tokens, book.rate)
        quote = book.quote(tokens, wish.held_tokens, rank, now)
        return dataclasses.replace(
            quote,
            cached_tokens=cached,
            incarnation=self._liveness.incarnation(endpoint),
        )

    def prefixes(self, endpoint: EndpointId) -> PrefixIndex:
        """Return the index of what an endpoint has cached."""
        return self._prefixes_by_endpoint.setdefault(endpoint, PrefixIndex())

    def _cached_tokens(self, endpoint: EndpointId, wish: Wish) -> int:
        if not wish.probes:
            return 0
        block_tokens = self._tree.services[wish.service].cache_block_tokens
        blocks = self.prefixes(endpoint).cached_blocks(wish.probes)
        return min(blocks * block_tokens, wish.tokens - 1)

    def _sample(self, by_owner: dict[InstanceId, list[EndpointId]]) -> list[InstanceId]:
        owners = list(by_owner)
        fanout = self._env.settings.quote_fanout
        if len(owners) <= fanout:
            return owners
        return self._env.random.sample(owners, fanout)

    async def _ask(
        self,
        owner: InstanceId,
        endpoints: list[EndpointId],
        wish: Wish,
        quotes: list[Quote],
    ) -> None:
        member = self._members.get(owner)
        if member is None:
            quotes.extend(self._quote_all(endpoints, wish))
            return
        request = QuoteRequest(
            service=wish.service,
            tokens=wish.tokens,
            held_tokens=wish.held_tokens,
            waited_s=wish.waited_s,
            without=tuple(sorted(wish.without)),
            suspect=wish.suspect,
            probe_blocks=tuple(probe.blocks for probe in wish.probes),
            probe_digests=tuple(probe.digest for probe in wish.probes),
        )
        timeout_s = self._env.settings.quote_timeout_s
        reply = await self._env.links.ask(member, request, timeout_s)
        if not isinstance(reply, QuoteReply):
            quotes.extend(self._quote_all(endpoints, wish))
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

    def _distance_s(self, quote: Quote) -> float:
        endpoint = self.find(quote.endpoint)
        if endpoint is None or endpoint.data_centre == self._env.settings.data_centre:
            return 0.0
        return OTHER_DATA_CENTRE_S
