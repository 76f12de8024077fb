"""Orders to model engines about their memory."""

import json
import typing as t

from ..ports import HttpCaller, HttpReply
from . import _names as names

ORDER_TIMEOUT_S = 0.6
STATUS_DONE = 200


class EngineOrders:
    """Sends orders to engines.

    :param caller_for: opens a connection to ``host:port``.
    """

    def __init__(self, caller_for: "CallerFactory") -> None:
        self._caller_for = caller_for

    async def reserve(self, address: str, id: str, tokens: int, hold_s: float) -> bool:
        """Set memory aside; false when the engine has none."""
        order = {
            "operation": "reserve",
            "id": id,
            "tokens": tokens,
            "hold_ms": int(hold_s * 1000),
        }
        return (await self._send(address, order)).status == STATUS_DONE

    async def release(self, address: str, id: str) -> None:
        """Give back what was set aside."""
        await self._send(address, {"operation": "release", "id": id})

    async def _send(self, address: str, order: dict[str, object]) -> HttpReply:
        caller = self._caller_for(address)
        try:
            body = json.dumps(order).encode()
            return await caller.call("POST", names.ORDER, body, ORDER_TIMEOUT_S)
        finally:
            await caller.aclose()


class CallerFactory(t.Protocol):
    """Opens a caller for an address."""

    def __call__(self, address: str) -> HttpCaller: ...
