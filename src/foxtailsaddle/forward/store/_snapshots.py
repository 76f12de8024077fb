"""Copies what another instance knows of the store."""

import logging

from ...errors import FoxtailsaddleError
from ..peers import Snapshot, decode_snapshot
from ..transport import KeepAliveHttpClient

logger = logging.getLogger("foxtailsaddle.peers")

SNAPSHOT_PATH = "/snapshot"
SNAPSHOT_TIMEOUT_S = 1.0


async def fetch_snapshot(control_address: str) -> Snapshot | None:
    """Return the snapshot of an instance, ``None`` if it gives none."""
    client = KeepAliveHttpClient(control_address)
    try:
        reply = await client.call("GET", SNAPSHOT_PATH, None, SNAPSHOT_TIMEOUT_S)
        return decode_snapshot(reply.body)
    except FoxtailsaddleError as error:
        logger.info(
            "peers: snapshot not fetched",
            extra={"peer": control_address, "why": error.message},
        )
        return None
    finally:
        await client.aclose()
