"""Reserves and releases memory at model engines, and reads their load reports."""

import json
import typing as t

from .._input_readers import read_count, read_json, read_number, reading
from ..core import EndpointNotice
from ..errors import ExchangeBrokenError
from ..ports import EngineReport, HttpClientFactory, HttpReply
from . import _names as names
from ._headers import read_notice

ORDER_TIMEOUT_S = 0.6
REPORT_TIMEOUT_S = 0.5
STATUS_OK = 200
MIN_SLOWDOWN = 1e-3  # others can only be mistakes, and times would not fit
MAX_SLOWDOWN = 1e6


class HttpEngineControl:
    """Sends memory orders to model engines and reads their load reports.

    Each call uses a connection of its own.

    :ivar client_for: returns an HTTP client for an address, ``host:port``.
    :ivar on_notice: called with the address of an engine and what it says of itself
        beside any of its responses.
    """

    def __init__(self, client_for: HttpClientFactory) -> None:
        self.client_for = client_for
        self.on_notice: t.Callable[[str, EndpointNotice], None] = lambda *_: None

    async def reserve(self, address: str, id: str, tokens: int, hold_s: float) -> bool:
        """Reserve KV memory; return false if the engine refuses.

        :param hold_s: the engine drops the reservation after this time.
        """
        order = {
            "operation": "reserve",
            "id": id,
            "tokens": tokens,
            "hold_ms": int(hold_s * 1000),
        }
        return (await self._send_order(address, order)).status == STATUS_OK

    async def release(self, address: str, id: str) -> None:
        """Release the memory that was reserved under an id."""
        await self._send_order(address, {"operation": "release", "id": id})

    async def report(self, address: str) -> EngineReport:
        """Return an engine's load, which is a few hundred milliseconds old."""
        reply = await self._call(
            address, "GET", names.REPORT_PATH, None, REPORT_TIMEOUT_S
        )
        with reading(f'load report of engine "{address}"', ExchangeBrokenError):
            return _decode_report(read_json(reply.body))

    async def _send_order(self, address: str, order: dict[str, object]) -> HttpReply:
        body = json.dumps(order).encode()
        return await self._call(
            address, "POST", names.ORDER_PATH, body, ORDER_TIMEOUT_S
        )

    async def _call(
        self,
        address: str,
        method: str,
        target: str,
        body: bytes | None,
        timeout_s: float,
    ) -> HttpReply:
        client = self.client_for(address)
        try:
            reply = await client.call(method, target, body, timeout_s)
        finally:
            await client.aclose()
        self.on_notice(address, read_notice(reply.status, reply.headers))
        return reply


def _decode_report(fields: dict[str, t.Any]) -> EngineReport:
    return EngineReport(
        slowdown=read_number(fields.get("pace", 1.0), MIN_SLOWDOWN, MAX_SLOWDOWN),
        queued=read_count(fields.get("queued", 0)),
        running=read_count(fields.get("running", 0)),
        kv_used_tokens=read_count(fields.get("kv_used", 0)),
    )
