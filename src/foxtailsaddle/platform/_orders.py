"""Orders to model engines about their memory, and their reports."""

import json
import typing as t

from ..errors import ExchangeBrokenError
from ..ports import EngineReport, HttpCaller, HttpReply
from . import _names as names

ORDER_TIMEOUT_S = 0.6
REPORT_TIMEOUT_S = 0.5
STATUS_DONE = 200


class EngineDesk:
    """Sends orders to engines and reads their reports.

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

    async def report(self, address: str) -> EngineReport:
        """Ask an engine for its load, as of some hundred milliseconds ago."""
        caller = self._caller_for(address)
        try:
            reply = await caller.call("GET", names.REPORT, None, REPORT_TIMEOUT_S)
            return _report(json.loads(reply.body))
        except (KeyError, TypeError, ValueError) as error:
            raise ExchangeBrokenError(f'report of "{address}": {error!r}') from error
        finally:
            await caller.aclose()

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


def _report(fields: dict[str, t.Any]) -> EngineReport:
    return EngineReport(
        pace=float(fields.get("pace", 1.0)),
        queued=int(fields.get("queued", 0)),
        running=int(fields.get("running", 0)),
        kv_used=int(fields.get("kv_used", 0)),
    )
