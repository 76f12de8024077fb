"""Connects other instances to endpoints that they don't reach themselves.

The bytes are passed on unchanged. Only instances of the fleet may ask, and only for
listed endpoints; connections are never passed on to a third instance.
"""

import contextlib
import logging
import random

import h11
import trio

from ...core import EndpointState, InstanceId
from ...errors import NothingSentError
from .._fleet import FleetState
from ..peers import Peers
from ..transport import (
    RelayedUpload,
    connect,
    copy_frames,
    reset_on_close,
    send_all,
)

logger = logging.getLogger("foxtailsaddle.relay")

INSTANCE_HEADER = b"x-instance"
INCARNATION_HEADER = b"x-incarnation"
OUTCOME_HEADER = b"x-outcome"
REFUSED = b"refused"  # the endpoint refused the connection: its process has ended
UNREACHED = b"unreached"
CONNECT_TIMEOUT_S = 0.3
CHECK_TIMEOUT_S = 0.1
CHECKED_ENDPOINTS = 6
MAX_CONNECTIONS = 256  # beyond them, another instance is to be asked
STATUS_CONNECTED = 200
STATUS_FORBIDDEN = 403
STATUS_NOT_REACHED = 502
STATUS_BUSY = 503


class RelayServer:
    """Serves the requests of other instances for a connection to an endpoint.

    :ivar open_connections: number of connections that are passed on at present.
    """

    def __init__(self, fleet: FleetState, peers: Peers) -> None:
        self._fleet = fleet
        self._peers = peers
        self.open_connections = 0

    async def serve(
        self,
        asker: trio.socket.SocketType,
        http: h11.Connection,
        request: h11.Request,
    ) -> None:
        """Answer a request for a connection, and pass on bytes until one side ends."""
        address = request.target.decode("latin-1")
        status = self._check(address, dict(request.headers))
        if status is not None:
            await _respond(asker, http, status)
            return
        try:
            endpoint = await connect(address, CONNECT_TIMEOUT_S)
        except NothingSentError as error:
            await self._respond_not_reached(asker, http, address, error)
            return
        self._fleet.paths.record_reached(address, trio.current_time())
        self.open_connections += 1
        try:
            await _respond(asker, http, STATUS_CONNECTED)
            await _pass_on(asker, endpoint, http.trailing_data[0])
        finally:
            self.open_connections -= 1
            endpoint.close()

    async def _respond_not_reached(
        self,
        asker: trio.socket.SocketType,
        http: h11.Connection,
        address: str,
        error: NothingSentError,
    ) -> None:
        """Respond that an endpoint is not reached, if this instance reaches others."""
        if not await self._reaches_another(address):
            await _respond(asker, http, STATUS_BUSY)
            return
        outcome = REFUSED if error.connection_refused else UNREACHED
        await _respond(asker, http, STATUS_NOT_REACHED, outcome)

    async def _reaches_another(self, address: str) -> bool:
        """Return whether this instance reaches any other endpoint at this moment."""
        addresses = {e.address for e in self._fleet.configured_endpoints()}
        others = sorted(addresses - {address})
        async with trio.open_nursery() as nursery:
            found = []

            async def try_one(other: str) -> None:
                with contextlib.suppress(NothingSentError):
                    (await connect(other, CHECK_TIMEOUT_S)).close()
                    found.append(other)
                    nursery.cancel_scope.cancel()

            for other in random.sample(others, min(CHECKED_ENDPOINTS, len(others))):
                nursery.start_soon(try_one, other)
        if found:
            self._fleet.paths.record_reached(found[0], trio.current_time())
        return bool(found)

    def _check(self, address: str, headers: dict[bytes, bytes]) -> int | None:
        """Return the status of a refusal, ``None`` if the request is allowed."""
        instance = InstanceId(headers.get(INSTANCE_HEADER, b"").decode("latin-1"))
        incarnation = headers.get(INCARNATION_HEADER, b"")
        if not self._peers.is_process(instance, incarnation.decode("latin-1")):
            return STATUS_FORBIDDEN
        entry = self._fleet.endpoints.newest_at_address(address)
        if entry is None or entry.state is not EndpointState.READY:
            return STATUS_FORBIDDEN
        is_full = self.open_connections >= MAX_CONNECTIONS
        if is_full or self._fleet.paths.is_cut_off:
            return STATUS_BUSY
        logger.debug("relay: opened", extra={"peer": instance, "endpoint": entry.id})
        return None


async def _respond(
    sock: trio.socket.SocketType,
    http: h11.Connection,
    status: int,
    outcome: bytes = b"",
) -> None:
    headers = [(OUTCOME_HEADER, outcome)] if outcome else []
    if status != STATUS_CONNECTED:
        headers.append((b"content-length", b"0"))
    data = http.send(h11.Response(status_code=status, headers=headers))
    if status != STATUS_CONNECTED:
        data += http.send(h11.EndOfMessage()) or b""
    await send_all(sock, data)


async def _pass_on(
    asker: trio.socket.SocketType, endpoint: trio.socket.SocketType, first: bytes
) -> None:
    """Pass on bytes in both directions until either side ends."""
    upload = RelayedUpload(asker, endpoint)
    async with trio.open_nursery() as nursery:

        async def forward_request() -> None:
            await upload.run(first)
            nursery.cancel_scope.cancel()

        nursery.start_soon(forward_request)
        try:
            await copy_frames(endpoint, asker, upload)
        except OSError:
            reset_on_close(asker)
        nursery.cancel_scope.cancel()
