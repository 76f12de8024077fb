"""Commands that speak to an instance's operators' interface."""

import json as json_module
import os
import typing as t
import uuid

import trio

from ..adapters import HttpcoreClient, OperatorClient, read_yaml
from ..errors import FoxtailsaddleError, SettingsError

URL_VARIABLE = "FOXTAILSADDLE_URL"
KEY_VARIABLE = "FOXTAILSADDLE_KEY"
WAIT_S = 12.0
POLL_S = 0.3

Rows = list[dict[str, t.Any]]


class NotInForceError(FoxtailsaddleError):
    """An accepted change is not in force on every live instance in time."""

    code = "not_in_force"


class Connection:
    """Where and as whom to speak; by default from the environment.

    :param url: of an instance's operators' interface.
    :param key: the operator's key.
    """

    def __init__(self, url: str | None, key: str | None) -> None:
        self._url = url or os.environ.get(URL_VARIABLE, "")
        self._key = key or os.environ.get(KEY_VARIABLE, "")
        if not self._url or not self._key:
            raise SettingsError(
                f"say which instance and as whom: --url and --key, "
                f"or {URL_VARIABLE} and {KEY_VARIABLE}"
            )

    def ask(self, question: t.Callable[[OperatorClient], t.Awaitable[t.Any]]) -> t.Any:
        """Run one conversation with the instance and return its result."""

        async def main() -> t.Any:
            client = HttpcoreClient()
            try:
                return await question(OperatorClient(client, self._url, self._key))
            finally:
                await client.aclose()

        return trio.run(main)


class _Group:
    def __init__(self, url: str | None = None, key: str | None = None) -> None:
        self._url = url
        self._key = key

    def _ask(self, question: t.Callable[[OperatorClient], t.Awaitable[t.Any]]) -> t.Any:
        return Connection(self._url, self._key).ask(question)

    def _change(self, patch: dict[str, t.Any], wait: bool, change: str = "") -> str:
        """Apply a patch on top of the revision in force now."""

        async def question(client: OperatorClient) -> str:
            base = (await client.settings())["revision"]
            return await _apply(client, change, base, patch, wait)

        return self._ask(question)


class Settings(_Group):
    """The settings in force, and changes to them."""

    def get(self, path: str = "", json: bool = False) -> str:
        """Print the settings in force, or the part at a dotted path."""

        async def question(client: OperatorClient) -> t.Any:
            return await client.settings()

        found = self._ask(question)
        value = found["tree"]
        for name in path.split(".") if path else ():
            if not isinstance(value, dict) or name not in value:
                raise SettingsError(f'path "{path}" is not set')
            value = value[name]
        if json:
            return _dump({"revision": found["revision"], "value": value})
        return f"revision {found['revision']}\n{_dump(value)}"

    def set(self, path: str, value: t.Any, wait: bool = False, change: str = "") -> str:
        """Set the value at a dotted path; ``null`` removes it.

        :param wait: return when all live instances have it in force.
        :param change: an id of your own, to ask after a lost answer.
        """
        patch: t.Any = None if value == "null" else value
        for name in reversed(path.split(".")):
            patch = {name: patch}
        return self._change(patch, wait, change)

    def apply(
        self, file: str, base: int | None = None, wait: bool = False, change: str = ""
    ) -> str:
        """Apply a JSON merge patch from a YAML file.

        :param base: the revision that the patch was made for; default: now's.
        """
        patch = read_yaml(file)
        if base is None:
            return self._change(patch, wait, change)

        async def question(client: OperatorClient) -> str:
            return await _apply(client, change, base, patch, wait)

        return self._ask(question)

    def ask(self, change: str) -> str:
        """Print what became of a change whose answer was lost."""

        async def question(client: OperatorClient) -> t.Any:
            return await client.change(change)

        found = self._ask(question)
        return f"accepted as revision {found['number']}, by {found['author']}"

    def diff(self, after: int, json: bool = False) -> str:
        """Print the patches that were accepted behind a revision."""
        return self.history(after, json)

    def history(self, after: int = 0, json: bool = False) -> str:
        """Print the accepted changes behind a revision."""

        async def question(client: OperatorClient) -> t.Any:
            return await client.history(after)

        found = self._ask(question)
        if json:
            return _dump(found)
        return "\n".join(
            f"{item['number']:>6}  {item['author']:12}  {item['change']}  "
            f"{_dump(item['patch'], indent=None)}"
            for item in found
        )

    def explain(self, account: str, service: str, json: bool = False) -> str:
        """Print each effective value and the level that set it."""

        async def question(client: OperatorClient) -> t.Any:
            return await client.explain(account, service)

        return _table(self._ask(question), json)


class Endpoints(_Group):
    """Endpoints and whether they get new work."""

    def list(self, json: bool = False) -> str:
        """Print all endpoints, as the asked instance sees them."""

        async def question(client: OperatorClient) -> t.Any:
            return await client.endpoints()

        return _table(self._ask(question), json)

    def withdraw(self, service: str, endpoint: str, wait: bool = False) -> str:
        """Keep new work away from an endpoint."""
        return self._change(_endpoint_patch(service, endpoint, True), wait)

    def restore(self, service: str, endpoint: str, wait: bool = False) -> str:
        """Give an endpoint new work again."""
        return self._change(_endpoint_patch(service, endpoint, None), wait)


class Instances(_Group):
    """Entry instances."""

    def list(self, json: bool = False) -> str:
        """Print all instances and the revision that each has in force."""

        async def question(client: OperatorClient) -> t.Any:
            return await client.instances()

        return _table(self._ask(question), json)


class Requests(_Group):
    """Recent requests."""

    def explain(self, request: str, json: bool = False) -> str:
        """Print each decision about a request, with its reason."""

        async def question(client: OperatorClient) -> t.Any:
            return await client.request(request)

        return _table(self._ask(question), json)


class Ledger(_Group):
    """Calls that may not be repeated."""

    def show(self, account: str, service: str, key: str, json: bool = False) -> str:
        """Print who touched a record, when, and what came of it."""

        async def question(client: OperatorClient) -> t.Any:
            return await client.ledger(account, service, key)

        found = self._ask(question)
        if json:
            return _dump(found)
        return "\n".join(f"{name:12} {value}" for name, value in found.items())


class Accounts(_Group):
    """Client accounts."""

    def create(self, account: str, key_sha256: str, wait: bool = False) -> str:
        """Create a client account with the hash of its first key."""
        return self._change({"accounts": {account: {"key_sha256": [key_sha256]}}}, wait)

    def withdraw(self, account: str, wait: bool = False) -> str:
        """Remove a client account; its keys stop working."""
        return self._change({"accounts": {account: None}}, wait)


class Services(_Group):
    """Services."""

    def create(self, service: str, kind: str = "model", wait: bool = False) -> str:
        """Create a service without endpoints."""
        return self._change({"services": {service: {"kind": kind}}}, wait)

    def withdraw(self, service: str, wait: bool = False) -> str:
        """Remove a service and its endpoints."""
        return self._change({"services": {service: None}}, wait)


async def _apply(
    client: OperatorClient, change: str, base: int, patch: dict[str, t.Any], wait: bool
) -> str:
    change = change or uuid.uuid4().hex
    accepted = await client.apply(change, base, patch)
    number = accepted["number"]
    done = f'change "{change}" accepted as revision {number}'
    if not wait:
        return done
    await _wait_until_in_force(client, number)
    return f"{done}, in force on all live instances"


async def _wait_until_in_force(client: OperatorClient, number: int) -> None:
    """Return when all live instances have the revision, or name the others."""
    late: list[str] = []
    with trio.move_on_after(WAIT_S):
        while True:
            rows = await client.instances()
            late = [
                row["id"] for row in rows if row["live"] and row["revision"] < number
            ]
            if not late:
                return
            await trio.sleep(POLL_S)
    raise NotInForceError(
        f"revision {number} is accepted, but not in force on: {', '.join(late)}"
    )


def _endpoint_patch(
    service: str, endpoint: str, withdrawn: bool | None
) -> dict[str, t.Any]:
    return {"services": {service: {"endpoints": {endpoint: {"withdrawn": withdrawn}}}}}


def _table(rows: Rows, as_json: bool) -> str:
    if as_json:
        return _dump(rows)
    if not rows:
        return "(none)"
    names = list(rows[0])
    lines = [names, *[[str(row[name]) for name in names] for row in rows]]
    widths = [max(len(line[column]) for line in lines) for column in range(len(names))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in lines
    )


def _dump(value: t.Any, indent: int | None = 2) -> str:
    return json_module.dumps(value, indent=indent)
