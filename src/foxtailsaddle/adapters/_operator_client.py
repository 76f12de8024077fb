"""A client of the operators' interface."""

import json
import typing as t
from urllib.parse import quote

from ..errors import FoxtailsaddleError
from ..ports import HttpClient, HttpRequest
from ..verdicts import Verdict

TIMEOUT_S = 15.0


class RemoteError(FoxtailsaddleError):
    """An instance refused what an operator asked for; keeps its code."""

    def __init__(self, problem: dict[str, t.Any]) -> None:
        super().__init__(problem["detail"], verdict=Verdict(problem["verdict"]))
        self.remote_code = problem["code"]


class OperatorClient:
    """Speaks the operators' interface of one instance.

    :param url: where the instance's operators connect.
    """

    def __init__(self, client: HttpClient, url: str, key: str) -> None:
        self._client = client
        self._url = url
        self._key = key

    async def settings(self) -> dict[str, t.Any]:
        """Return the revision in force and its tree."""
        return await self._send("GET", "/settings")

    async def apply(
        self, change_id: str, base: int, patch: dict[str, t.Any]
    ) -> dict[str, t.Any]:
        """Ask for a change and return the accepted revision.

        :raises RemoteError: with code ``settings_conflict`` for a lost race.
        """
        body = {"id": change_id, "base": base, "patch": patch}
        return await self._send("POST", "/settings/changes", body)

    async def change(self, change_id: str) -> dict[str, t.Any]:
        """Return what became of a change whose answer was lost."""
        return await self._send("GET", f"/settings/changes/{_part(change_id)}")

    async def history(self, after: int = 0) -> list[dict[str, t.Any]]:
        """Return the revisions behind ``after``."""
        answer = await self._send("GET", f"/settings/history?after={after}")
        return answer["revisions"]

    async def explain(self, account: str, service: str) -> list[dict[str, t.Any]]:
        """Return each effective value and the level that set it."""
        path = f"/settings/explain/{_part(account)}/{_part(service)}"
        return (await self._send("GET", path))["values"]

    async def instances(self) -> list[dict[str, t.Any]]:
        """Return all known instances and the revision each has in force."""
        return (await self._send("GET", "/instances"))["instances"]

    async def endpoints(self) -> list[dict[str, t.Any]]:
        """Return all endpoints and what their owners know of them."""
        return (await self._send("GET", "/endpoints"))["endpoints"]

    async def request(self, request_id: str) -> list[dict[str, t.Any]]:
        """Return the decisions about a request."""
        return (await self._send("GET", f"/requests/{_part(request_id)}"))["steps"]

    async def ledger(self, account: str, service: str, key: str) -> dict[str, t.Any]:
        """Return the ledger's entry of an idempotency key."""
        path = f"/ledger/{_part(account)}/{_part(service)}/{_part(key)}"
        return await self._send("GET", path)

    async def _send(self, method: str, path: str, body: t.Any = None) -> t.Any:
        request = HttpRequest(
            method,
            self._url + path,
            headers={"authorization": f"Bearer {self._key}"},
            body=b"" if body is None else json.dumps(body).encode(),
            idle_s=TIMEOUT_S,
        )
        async with self._client.exchange(request) as response:
            answer = json.loads(await response.read())
        if response.status >= 400:
            raise RemoteError(answer)
        return answer


def _part(text: str) -> str:
    return quote(text, safe="")
