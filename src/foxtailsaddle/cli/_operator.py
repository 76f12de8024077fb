"""Commands that call the operator API of a running instance."""

import json as json_module
import os
import typing as t
import uuid

import trio

from ..adapters import HttpcoreClient, OperatorClient, read_yaml
from ..errors import FoxtailsaddleError, SettingsError

URL_VARIABLE = "FOXTAILSADDLE_URL"
KEY_VARIABLE = "FOXTAILSADDLE_KEY"
IN_FORCE_TIMEOUT_S = 12.0
POLL_INTERVAL_S = 0.3

Records = list[dict[str, t.Any]]


class NotInForceError(FoxtailsaddleError):
    """An accepted change was not in force on all live instances in time."""

    code = "not_in_force"


class OperatorConnection:
    """Address and key for the operator API; by default from the environment.

    :param url: base URL of an instance's operator API.
    :param key: the operator's key.
    :raises SettingsError: the URL or the key is neither given nor in the
        environment.
    """

    def __init__(self, url: str | None, key: str | None) -> None:
        self._url = url or os.environ.get(URL_VARIABLE, "")
        self._key = key or os.environ.get(KEY_VARIABLE, "")
        if not self._url or not self._key:
            raise SettingsError(
                f"the instance's URL or the operator's key is missing: "
                f"give --url and --key, or set {URL_VARIABLE} and {KEY_VARIABLE}"
            )

    def run(self, operation: t.Callable[[OperatorClient], t.Awaitable[t.Any]]) -> t.Any:
        """Run ``operation`` with a client of the operator API and return its result."""

        async def main() -> t.Any:
            client = HttpcoreClient()
            try:
                return await operation(OperatorClient(client, self._url, self._key))
            finally:
                await client.aclose()

        return trio.run(main)


class _CommandGroup:
    """Base class of the command groups that call the operator API.

    :param url: base URL of an instance's operator API.
    :param key: the operator's key.
    """

    def __init__(self, url: str | None = None, key: str | None = None) -> None:
        self._url = url
        self._key = key

    def _run(
        self, operation: t.Callable[[OperatorClient], t.Awaitable[t.Any]]
    ) -> t.Any:
        return OperatorConnection(self._url, self._key).run(operation)

    def _change(self, patch: dict[str, t.Any], wait: bool, change: str = "") -> str:
        """Apply a JSON merge patch to the current settings.

        :param change: the id of the change; empty to generate one.
        """

        async def operation(client: OperatorClient) -> str:
            base = (await client.settings())["revision"]
            return await _apply_change(client, change, base, patch, wait)

        return self._run(operation)


class Settings(_CommandGroup):
    """Show and change the settings in force."""

    def get(self, path: str = "", json: bool = False) -> str:
        """Print the settings in force, or the part at a dotted path."""

        async def operation(client: OperatorClient) -> t.Any:
            return await client.settings()

        result = self._run(operation)
        value = result["tree"]
        for name in path.split(".") if path else ():
            if not isinstance(value, dict) or name not in value:
                raise SettingsError(f'path "{path}" is not set')
            value = value[name]
        if json:
            return _to_json({"revision": result["revision"], "value": value})
        return f"revision {result['revision']}\n{_to_json(value)}"

    def set(self, path: str, value: t.Any, wait: bool = False, change: str = "") -> str:
        """Set the value at a dotted path; ``null`` removes it.

        :param wait: return only when the change is in force on all live instances.
        :param change: an id of your choice for the change; with it, ``ask`` finds
            out whether the change was accepted if the answer was lost.
        """
        patch: t.Any = None if value == "null" else value
        for name in reversed(path.split(".")):
            patch = {name: patch}
        return self._change(patch, wait, change)

    def apply(
        self, file: str, base: int | None = None, wait: bool = False, change: str = ""
    ) -> str:
        """Apply a JSON merge patch from a YAML file.

        :param base: the revision that the patch was made for; by default the
            current one.
        """
        patch = read_yaml(file)
        if base is None:
            return self._change(patch, wait, change)

        async def operation(client: OperatorClient) -> str:
            return await _apply_change(client, change, base, patch, wait)

        return self._run(operation)

    def ask(self, change: str) -> str:
        """Print the revision of a change, if it was accepted.

        Use it when the answer to ``set`` or ``apply`` was lost.
        """

        async def operation(client: OperatorClient) -> t.Any:
            return await client.change(change)

        result = self._run(operation)
        return f"accepted as revision {result['number']}, by {result['author']}"

    def diff(self, after: int, json: bool = False) -> str:
        """Print the patches that were accepted after a revision."""
        return self.history(after, json)

    def history(self, after: int = 0, json: bool = False) -> str:
        """Print the changes that were accepted after a revision."""

        async def operation(client: OperatorClient) -> t.Any:
            return await client.history(after)

        result = self._run(operation)
        if json:
            return _to_json(result)
        return "\n".join(
            f"{item['number']:>6}  {item['author']:12}  {item['change']}  "
            f"{_to_json(item['patch'], indent=None)}"
            for item in result
        )

    def explain(self, account: str, service: str, json: bool = False) -> str:
        """Print each effective setting and the level that sets it."""

        async def operation(client: OperatorClient) -> t.Any:
            return await client.explain(account, service)

        return _format_table(self._run(operation), json)


class Endpoints(_CommandGroup):
    """List endpoints and control which of them get new requests."""

    def list(self, json: bool = False) -> str:
        """Print all endpoints, as the queried instance sees them."""

        async def operation(client: OperatorClient) -> t.Any:
            return await client.endpoints()

        return _format_table(self._run(operation), json)

    def withdraw(self, service: str, endpoint: str, wait: bool = False) -> str:
        """Send no new requests to an endpoint."""
        return self._change(_endpoint_patch(service, endpoint, True), wait)

    def restore(self, service: str, endpoint: str, wait: bool = False) -> str:
        """Send new requests to an endpoint again."""
        return self._change(_endpoint_patch(service, endpoint, None), wait)


class Instances(_CommandGroup):
    """List entry instances."""

    def list(self, json: bool = False) -> str:
        """Print all instances and the settings revision that each has in force."""

        async def operation(client: OperatorClient) -> t.Any:
            return await client.instances()

        return _format_table(self._run(operation), json)


class Requests(_CommandGroup):
    """Explain recent requests."""

    def explain(self, request: str, json: bool = False) -> str:
        """Print each decision about a request, with its reason."""

        async def operation(client: OperatorClient) -> t.Any:
            return await client.request(request)

        return _format_table(self._run(operation), json)


class Ledger(_CommandGroup):
    """Show recorded calls, which run at most once."""

    def show(self, account: str, service: str, key: str, json: bool = False) -> str:
        """Print the ledger entry of a call: state, attempt, timestamps and outcome."""

        async def operation(client: OperatorClient) -> t.Any:
            return await client.ledger(account, service, key)

        result = self._run(operation)
        if json:
            return _to_json(result)
        return "\n".join(f"{name:12} {value}" for name, value in result.items())


class Accounts(_CommandGroup):
    """Create and remove client accounts."""

    def create(self, account: str, key_sha256: str, wait: bool = False) -> str:
        """Create a client account with the hash of its first key."""
        return self._change({"accounts": {account: {"key_sha256": [key_sha256]}}}, wait)

    def withdraw(self, account: str, wait: bool = False) -> str:
        """Remove a client account; its keys stop working."""
        return self._change({"accounts": {account: None}}, wait)


class Services(_CommandGroup):
    """Create and remove services."""

    def create(self, service: str, kind: str = "model", wait: bool = False) -> str:
        """Create a service without endpoints."""
        return self._change({"services": {service: {"kind": kind}}}, wait)

    def withdraw(self, service: str, wait: bool = False) -> str:
        """Remove a service and its endpoints."""
        return self._change({"services": {service: None}}, wait)


async def _apply_change(
    client: OperatorClient, change: str, base: int, patch: dict[str, t.Any], wait: bool
) -> str:
    change = change or uuid.uuid4().hex
    accepted = await client.apply(change, base, patch)
    number = accepted["number"]
    accepted_message = f'change "{change}" accepted as revision {number}'
    if not wait:
        return accepted_message
    await _wait_until_in_force(client, number)
    return f"{accepted_message}, in force on all live instances"


async def _wait_until_in_force(client: OperatorClient, number: int) -> None:
    """Wait until all live instances have a revision in force.

    :raises NotInForceError: some do not have it after ``IN_FORCE_TIMEOUT_S``; the
        message names them.
    """
    lagging_ids: list[str] = []
    with trio.move_on_after(IN_FORCE_TIMEOUT_S):
        while True:
            rows = await client.instances()
            lagging_ids = [
                row["id"] for row in rows if row["live"] and row["revision"] < number
            ]
            if not lagging_ids:
                return
            await trio.sleep(POLL_INTERVAL_S)
    raise NotInForceError(
        f"revision {number} is accepted, but not in force on: {', '.join(lagging_ids)}"
    )


def _endpoint_patch(
    service: str, endpoint: str, withdrawn: bool | None
) -> dict[str, t.Any]:
    return {"services": {service: {"endpoints": {endpoint: {"withdrawn": withdrawn}}}}}


def _format_table(rows: Records, as_json: bool) -> str:
    if as_json:
        return _to_json(rows)
    if not rows:
        return "(none)"
    columns = list(rows[0])
    lines = [columns, *[[str(row[name]) for name in columns] for row in rows]]
    widths = [
        max(len(line[column]) for line in lines) for column in range(len(columns))
    ]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in lines
    )


def _to_json(value: t.Any, indent: int | None = 2) -> str:
    return json_module.dumps(value, indent=indent)
