"""Tests for refusals of endpoints that belong to another request."""

import contextlib

import pytest
import trio

from foxtailsaddle.adapters import HttpModelEndpoints, HttpPlainEndpoints
from foxtailsaddle.core import AttemptId
from foxtailsaddle.errors import EndpointFailedError, ExchangeBrokenError
from foxtailsaddle.ports import GenerationRequest, PlainCall
from foxtailsaddle.verdicts import Verdict
from standins.wire import WireServer
from tests.loopback_world import eventually, in_world
from tests.test_http_client import client_of

NOT_RUN_STATUSES = [421, 429, 503]
FIRST = AttemptId("a", "1", 1, 1, 1_000)
SECOND = AttemptId("a", "2", 1, 1, 1_000)
GENERATION = GenerationRequest("m", "prompt", (), {}, 8, 0.0, "")


def refusal(status, id=None):
    """Return the bytes of a refusal, with the id of a request or none."""
    lines = [f"HTTP/1.1 {status} no", "X-Not-Executed: 1", "Content-Length: 0"]
    if id is not None:
        lines.append(f"X-Request-Id: {id}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


class FaultyRunner:
    """Runs each request and sends an earlier refusal in place of the answer.

    :ivar run_ids: ids of the requests that ran.
    """

    def __init__(self, data):
        self._data = data
        self.run_ids = []
        self.server = WireServer(self.handle, "127.0.0.1")

    async def handle(self, connection, request):
        if request.path == "/report":
            return await connection.answer(200, b"{}")
        self.run_ids.append(request.headers["x-request-id"])
        await connection.send_raw(self._data)
        return False


@contextlib.asynccontextmanager
async def faulty_runner(world, service, data):
    """Provide a faulty runner, the only one of its service."""
    runner = FaultyRunner(data)
    await world.nursery.start(runner.server.run)
    entry = {
        "service": service,
        "address": runner.server.address,
        "zone": "a",
        "slots": 8,
        "state": "ready",
        "born": 1,
    }
    world.rows.put("servers", "faulty", entry)
    await eventually(lambda: "faulty" in world.apps[0].fleet.endpoints)
    yield runner


class TestRefusalOfAnotherRequest:
    """Only a refusal with the id of a request says that this request didn't run."""

    # Guards against "not run, try again" for a request that runs (REFUSED), and against
    # its second run at another endpoint (TWICE).
    @pytest.mark.parametrize("status", NOT_RUN_STATUSES)
    @pytest.mark.parametrize("id", [None, "", "another-request"])
    @pytest.mark.parametrize("path", ["/unsafe/x", "/safe/x", "/stream/x"])
    def test_is_no_proof(self, status, id, path):
        @in_world(engines=0, plain=0)
        async def case(_, world):
            service = "model" if path.startswith("/stream") else "plain"
            async with faulty_runner(world, service, refusal(status, id)) as runner:
                reply = await world.ask(world.apps[0], path)
                assert runner.run_ids
                assert reply.status == 502
                if path == "/unsafe/x":
                    assert len(runner.run_ids) == 1

        case(self)


class TestProductsOwnFrontDoor:
    """The same there, where connections to endpoints are used again."""

    # Guards against the earlier refusal, written once more on a kept connection, as the
    # answer to the request that is sent next (REFUSED, TWICE).
    def test_an_earlier_refusal_does_not_say_that_a_prompt_was_not_run(self):
        async def case():
            async with client_of(self.repeat_refusal) as (client, url):
                models = HttpModelEndpoints(client)
                verdicts = []
                for attempt in (FIRST, SECOND):
                    with pytest.raises((EndpointFailedError, ExchangeBrokenError)) as e:
                        async with models.stream(url, attempt, GENERATION, 1.0):
                            pass
                    verdicts.append(e.value.verdict)
                assert verdicts == [Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN]

        trio.run(case)

    def test_an_earlier_refusal_does_not_say_that_a_call_was_not_run(self):
        async def case():
            async with client_of(self.repeat_refusal) as (client, url):
                plain = HttpPlainEndpoints(client)
                first = await plain.call(url, self.call(FIRST), 1.0)
                assert first.verdict is Verdict.NOT_RUN
                with pytest.raises(ExchangeBrokenError):
                    await plain.call(url, self.call(SECOND), 1.0)

        trio.run(case)

    def test_a_refusal_without_an_id_proves_nothing(self):
        async def serve(connection):
            while await connection.receive_some(4000):
                await connection.send_all(self.refusal(""))

        async def case():
            async with client_of(serve) as (client, url):
                with pytest.raises(EndpointFailedError) as caught:
                    async with HttpModelEndpoints(client).stream(
                        url, FIRST, GENERATION, 1.0
                    ):
                        pass
                assert caught.value.verdict is Verdict.MAY_HAVE_RUN
                with pytest.raises(ExchangeBrokenError):
                    await HttpPlainEndpoints(client).call(url, self.call(FIRST), 1.0)

        trio.run(case)

    @staticmethod
    def call(attempt):
        return PlainCall("POST", "x", "text/plain", b"", attempt, False)

    @staticmethod
    def refusal(id):
        line = f"X-Request-Id: {id}\r\n" if id else ""
        head = f"HTTP/1.1 503 no\r\nX-Not-Run: 1\r\n{line}Content-Length: 0\r\n\r\n"
        return head.encode()

    async def repeat_refusal(self, connection):
        """Refuse the first request of a connection, and all others with its id."""
        while await connection.receive_some(4000):
            await connection.send_all(self.refusal(FIRST))
