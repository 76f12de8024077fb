"""Asks another instance for a connection to an endpoint."""

import typing as t

import h11
import trio

from ...core import InstanceId
from ...errors import NothingSentError
from ..peers import Peer
from ..transport import RECEIVE_BYTES, RelayedSocket, connect, send_all
from ._relay_server import (
    INCARNATION_HEADER,
    INSTANCE_HEADER,
    OUTCOME_HEADER,
    REFUSED,
    STATUS_CONNECTED,
    STATUS_FORBIDDEN,
    STATUS_NOT_REACHED,
)


class RelayFailedError(Exception):
    """Another instance did not say whether it reaches an endpoint.

    :param concerns_endpoint: it may still be asked for other endpoints.
    """

    def __init__(self, message: str, *, concerns_endpoint: bool = False) -> None:
        super().__init__(message)
        self.concerns_endpoint = concerns_endpoint


class RelayClient:
    """Asks other instances in the name of this one.

    :param incarnation: number of this process.
    """

    def __init__(self, instance: InstanceId, incarnation: int) -> None:
        self._instance = instance
        self._incarnation = incarnation

    async def ask(self, peer: Peer, address: str, timeout_s: float) -> RelayedSocket:
        """Ask an instance for a connection to an endpoint.

        :raises NothingSentError: it doesn't reach the endpoint either.
        :raises RelayFailedError: it gave no answer, or doesn't relay at present.
        """
        with trio.move_on_after(timeout_s):
            try:
                sock = await connect(peer.control_address, timeout_s)
            except NothingSentError as error:
                raise RelayFailedError(error.message) from error
            try:
                return await self._request(sock, peer, address)
            except BaseException:
                sock.close()
                raise
        raise RelayFailedError(f'"{peer.id}" did not answer in {timeout_s:.2f} s')

    async def _request(
        self, sock: trio.socket.SocketType, peer: Peer, address: str
    ) -> RelayedSocket:
        http = h11.Connection(h11.CLIENT)
        headers = [
            (b"host", address.encode()),
            (INSTANCE_HEADER, self._instance.encode()),
            (INCARNATION_HEADER, b"%d" % self._incarnation),
        ]
        request = h11.Request(method="CONNECT", target=address, headers=headers)
        try:
            await send_all(sock, http.send(request) + http.send(h11.EndOfMessage()))
            response = await _receive_response(sock, http)
        except (OSError, h11.RemoteProtocolError) as error:
            raise RelayFailedError(f'"{peer.id}" broke off: {error}') from error
        if response.status_code == STATUS_CONNECTED:
            return RelayedSocket(sock, bytes(http.trailing_data[0]), peer.id)
        if response.status_code == STATUS_NOT_REACHED:
            is_refused = dict(response.headers).get(OUTCOME_HEADER) == REFUSED
            raise NothingSentError(
                f'"{address}" is not reached by "{peer.id}" either',
                connection_refused=is_refused,
            )
        raise RelayFailedError(
            f'"{peer.id}" responded with {response.status_code}',
            concerns_endpoint=response.status_code == STATUS_FORBIDDEN,
        )


async def _receive_response(
    sock: trio.socket.SocketType, http: h11.Connection
) -> h11.Response:
    while True:
        event: t.Any = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await sock.recv(RECEIVE_BYTES))
        elif isinstance(event, h11.Response):
            return event
        else:
            raise h11.RemoteProtocolError("no response")
