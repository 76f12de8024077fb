"""Client of an instance's operator API."""

import json
import typing as t
from urllib.parse import quote

from .._input_readers import read_json, reading
from ..errors import ExchangeBrokenError, FoxtailsaddleError
from ..ports import HttpClient, HttpRequest
from ..verdicts import Verdict

IDLE_TIMEOUT_S = 15.0


class RemoteError(FoxtailsaddleError):
    """An instance refused an operator's request.

    :param problem: the problem document of the response.
    :ivar remote_code: the error code that the instance returned.
    """

    def __init__(self, problem: dict[str, t.Any]) -> None:
        super().__init__(problem["detail"], verdict=Verdict(problem["verdict"]))
        self.remote_code = problem["code"]


class OperatorClient:
    """Calls the operator API of one instance.

    :param url: base URL of the operator API.
    :param key: the operator's key, sent as bearer token.
    """

    def __init__(self, client: HttpClient, url: str, key: str) -> None:
        self._client = client
        self._url = url
        self._key = key

    async def settings(self) -> dict[str, t.Any]:
        """Return the settings in force: their revision and their tree."""
        return await self._send("GET", "/settings")

    async def apply(
        self, change_id: str, base: int, patch: dict[str, t.Any]
    ) -> dict[str, t.Any]:
        """Submit a change of the settings and return the accepted revision.

        :param change_id: id chosen by the operator, by which the result can be
            looked up if the answer is lost.
        :param base: revision that the patch was made for.
        :param patch: JSON merge patch.
        :raises RemoteError: with code ``settings_conflict`` if another change was
            accepted after ``base``.
        """
        body = {"id": change_id, "base": base, "patch": patch}
        return await self._send("POST", "/settings/changes", body)

    async def change(self, change_id: str) -> dict[str, t.Any]:
        """Return the revision that a change became, for a change with a lost answer."""
        return await self._send("GET", f"/settings/changes/{_quoted(change_id)}")

    async def history(self, after: int = 0) -> list[dict[str, t.Any]]:
        """Return the accepted revisions with a number above ``after``."""
        answer = await self._send("GET", f"/settings/history?after={after}")
        return answer["revisions"]

    async def explain(self, account: str, service: str) -> list[dict[str, t.Any]]:
        """Return each effective setting and the level that sets it."""
        path = f"/settings/explain/{_quoted(account)}/{_quoted(service)}"
        return (await self._send("GET", path))["values"]

    async def instances(self) -> list[dict[str, t.Any]]:
        """Return all known instances with the revision that each has in force."""
        return (await self._send("GET", "/instances"))["instances"]

    async def endpoints(self) -> list[dict[str, t.Any]]:
        """Return all endpoints with the state that their owners know."""
        return (await self._send("GET", "/endpoints"))["endpoints"]

    async def request(self, request_id: str) -> list[dict[str, t.Any]]:
        """Return the recorded decisions about a request."""
        return (await self._send("GET", f"/requests/{_quoted(request_id)}"))["steps"]

    async def ledger(self, account: str, service: str, key: str) -> dict[str, t.Any]:
        """Return the ledger entry of an idempotency key."""
        path = f"/ledger/{_quoted(account)}/{_quoted(service)}/{_quoted(key)}"
        return await self._send("GET", path)

    async def _send(self, method: str, path: str, body: t.Any = None) -> t.Any:
        request = HttpRequest(
            method,
            self._url + path,
            headers={"authorization": f"Bearer {self._key}"},
            body=b"" if body is None else json.dumps(body).encode(),
            idle_timeout_s=IDLE_TIMEOUT_S,
        )
        async with self._client.exchange(request) as response:
            body = await response.read()
        what = f'answer {response.status} of "{self._url}{path}"'
        with reading(what, ExchangeBrokenError):
            answer = read_json(body)
            error = RemoteError(answer) if response.status >= 400 else None
        if error is not None:
            raise error
        return answer


def _quoted(text: str) -> str:
    return quote(text, safe="")
