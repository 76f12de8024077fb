"""Clients that keep a connection open for many requests."""

import asyncio
import random
import time

from .fleet import HOST, KEY, Fleet, Instance
from .record import Record
from .wire import Reply, read_reply

DEADLINE_MS = 2500
PAUSE_S = 0.1  # between two requests, at most
RECONNECT_S = 0.1


class KeptClient:
    """A client that sends one request after the other on the same connection.

    It opens a new connection, to the next instance, when its connection has ended.
    """

    def __init__(self, number: int, fleet: Fleet, record: Record) -> None:
        self._number = number
        self._fleet = fleet
        self._record = record
        self._requests = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        turn = self._number
        while True:
            instance = self._fleet.instances[turn % len(self._fleet.instances)]
            turn += 1
            try:
                reader, writer = await asyncio.open_connection(
                    instance.host, instance.front
                )
            except OSError:
                await asyncio.sleep(RECONNECT_S)
                continue
            try:
                await self._use(instance, reader, writer)
            finally:
                writer.close()

    async def _use(
        self,
        instance: Instance,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        is_kept = False
        while True:
            reply = await self._ask(instance, reader, writer, is_kept)
            if not reply.status or reply.headers.get("connection") == "close":
                return
            is_kept = True
            await asyncio.sleep(random.random() * PAUSE_S)

    async def _ask(
        self,
        instance: Instance,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_kept: bool,
    ) -> Reply:
        self._requests += 1
        id = f"{self._number:08x}{self._requests:08x}"
        self._record.write("sent", id=id, instance=instance.name, kept=is_kept)
        lines = [
            f"POST /lookup/{id} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {id}",
            f"X-Deadline-Ms: {DEADLINE_MS}",
            f"Authorization: Token {KEY}",
            "Content-Length: 0",
        ]
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
                reply = await read_reply(reader)
        except OSError:
            reply = Reply(0, {}, b"")
        except TimeoutError:
            self._record.write("given up", id=id)
            return Reply(0, {}, b"")
        after_ms = round((time.monotonic() - sent_at) * 1000)
        event = "answered" if reply.status else "closed without an answer"
        self._record.write(event, id=id, status=reply.status, after_ms=after_ms)
        return reply
