"""Tests for malformed and unexpected answers of the platform and of instances."""

import contextlib
import json

import pytest
import trio

from foxtailsaddle.adapters import HttpPlatform, OperatorClient, RemoteError
from foxtailsaddle.core import StoreVersion
from foxtailsaddle.errors import ExchangeBrokenError, PlatformUnavailableError
from foxtailsaddle.platform import HttpStore
from foxtailsaddle.ports import HttpReply
from standins.world import run_world


class FixedResponse:
    """A response with a fixed status and body."""

    headers = {}

    def __init__(self, status, body):
        self.status = status
        self._body = body

    async def read(self):
        return self._body


class FixedClient:
    """An HTTP client whose requests all get the same response."""

    def __init__(self, status, body):
        self._response = FixedResponse(status, body)

    @contextlib.asynccontextmanager
    async def exchange(self, request):
        yield self._response


def platform_answering(status, body=b"{}"):
    return HttpPlatform(FixedClient(status, body), "http://platform")


class TestPlatform:
    @pytest.mark.parametrize("status", [400, 403, 409, 429])
    def test_a_refused_write_is_reported_as_not_written(self, status):
        platform = platform_answering(status)
        with pytest.raises(PlatformUnavailableError, match=str(status)):
            trio.run(platform.put, "ledger", "k", {}, 0)

    @pytest.mark.parametrize("status", [400, 403, 410, 429])
    def test_a_refused_read_is_no_row(self, status):
        body = json.dumps({"key": "k", "version": 1, "value": {}}).encode()
        with pytest.raises(PlatformUnavailableError, match=str(status)):
            trio.run(platform_answering(status, body).get, "ledger", "k")

    def test_a_missing_row_is_none(self):
        assert trio.run(platform_answering(404).get, "ledger", "k") is None


class TestOperatorClient:
    def test_an_answer_that_is_not_json_names_the_address(self):
        client = OperatorClient(FixedClient(502, b"<html>"), "http://i1", "key")
        with pytest.raises(ExchangeBrokenError, match="http://i1/settings"):
            trio.run(client.settings)


class TestHistory:
    def test_a_malformed_revision_number_is_refused(self):
        async def scenario(world):
            with pytest.raises(RemoteError, match="after") as caught:
                await world.operator("i1").history("x")
            assert caught.value.remote_code == "request_invalid"

        run_world(scenario)


class PagedStore:
    """Answers a read in pages of one row, with a write between two pages."""

    def __init__(self, eras=("1", "1")):
        self._eras = eras
        self.targets = []

    async def call(self, method, target, body, timeout_s):
        page = len(self.targets)
        self.targets.append(target)
        row = {"key": f"k{page}", "ver": 5 + page, "value": ""}
        fields = {"rows": [row], "ver": 9 + page, "now_ms": 1, "more_pages": page == 0}
        headers = [(b"store-era", self._eras[page].encode())]
        return HttpReply(200, json.dumps(fields).encode(), headers)


class TestPagedRead:
    def test_the_rows_have_the_version_of_the_first_page(self):
        rows = trio.run(HttpStore(PagedStore()).read, "servers")
        assert [row.key for row in rows.rows] == ["k0", "k1"]
        assert rows.version == StoreVersion(1, 9)

    def test_pages_of_two_eras_are_not_joined(self):
        with pytest.raises(PlatformUnavailableError, match="restored"):
            trio.run(HttpStore(PagedStore(("1", "2"))).read, "servers")

    @pytest.mark.parametrize(
        "fields", [{}, {"rows": [{}], "ver": 1, "now_ms": 1}, {"rows": 3}]
    )
    def test_malformed_rows_are_reported(self, fields):
        class Malformed:
            async def call(self, *_):
                return HttpReply(200, json.dumps(fields).encode())

        with pytest.raises(PlatformUnavailableError, match="malformed"):
            trio.run(HttpStore(Malformed()).read, "servers")
