"""The commands of foxtailsaddle and their exit codes."""

import json as json_module
import sys
import typing as t

from ..errors import FoxtailsaddleError

EXIT_FAILED = 1
EXIT_CONFLICT = 3
EXIT_NOT_IN_FORCE = 4
EXIT_INVALID_SETTINGS = 2
EXIT_BY_CODE = {
    "process_settings_invalid": EXIT_INVALID_SETTINGS,
    "settings_conflict": EXIT_CONFLICT,
    "not_in_force": EXIT_NOT_IN_FORCE,
}


def _operator_module() -> t.Any:
    """Import the operator commands on first use.

    Commands that don't need them start without loading their modules.
    """
    from . import _operator as operator

    return operator


class Commands:
    """foxtailsaddle: a serving layer for prompts of very different lengths.

    The command groups call the operator API of a running instance: give its --url
    and your --key, or set FOXTAILSADDLE_URL and FOXTAILSADDLE_KEY.
    """

    @property
    def settings(self) -> t.Any:
        """Commands about the settings in force."""
        return _operator_module().Settings

    @property
    def endpoints(self) -> t.Any:
        """Commands about endpoints."""
        return _operator_module().Endpoints

    @property
    def instances(self) -> t.Any:
        """Commands about instances."""
        return _operator_module().Instances

    @property
    def requests(self) -> t.Any:
        """Commands about requests."""
        return _operator_module().Requests

    @property
    def ledger(self) -> t.Any:
        """Commands about recorded calls, which run at most once."""
        return _operator_module().Ledger

    @property
    def accounts(self) -> t.Any:
        """Commands about client accounts."""
        return _operator_module().Accounts

    @property
    def services(self) -> t.Any:
        """Commands about services."""
        return _operator_module().Services

    def serve(self, config: str, log_level: str = "INFO") -> None:
        """Run one entry instance until SIGTERM or SIGINT.

        :param config: the YAML file with the instance's settings.
        :param log_level: DEBUG, INFO, WARNING or ERROR.
        """
        from ._serve import serve

        serve(config, log_level)

    def serve_platform(
        self, config: str | None = None, log_level: str = "INFO"
    ) -> None:
        """Run one instance on the users' platform until SIGTERM.

        :param config: the platform's settings file; by default the file named by
            the environment variable that the platform sets.
        """
        from ._serve_platform import serve_platform

        serve_platform(config, log_level)

    def check(self, file: str) -> str:
        """Validate a settings file and print a summary of it.

        A TOML file is read as a settings file of the platform, any other file as
        the YAML settings of an instance.
        """
        if file.endswith(".toml"):
            return _check_platform_file(file)
        from ..adapters import read_settings_file

        tree = read_settings_file(file).tree
        endpoints = sum(len(item.endpoints) for item in tree.services.values())
        return (
            f"{file}: valid; {len(tree.accounts)} client accounts, "
            f"{len(tree.services)} services, {endpoints} endpoints"
        )

    def explain(self, file: str, account: str, service: str, json: bool = False) -> str:
        """Print each effective setting and the level that sets it."""
        from ..adapters import read_settings_file

        values = read_settings_file(file).tree.explain(account, service)
        if json:
            return json_module.dumps([item._asdict() for item in values])
        return "\n".join(
            f"{item.name:20} {item.value!s:>14}  from {item.level}" for item in values
        )


def _check_platform_file(file: str) -> str:
    from ..platform import read_process_settings

    settings = read_process_settings(file)
    return (
        f"{file}: valid; instance {settings.instance} in {settings.data_centre}, "
        f"callers at {settings.front_address}, store at {settings.store_address}"
    )


def main() -> None:
    """Run the command line.

    Errors are printed to standard error with their code and set the exit status.
    """
    try:
        if sys.argv[1:] == ["serve-platform"]:
            # Hundreds of instances may start at once, and fire loads asyncio.
            Commands().serve_platform()
            return
        import fire

        fire.Fire(Commands(), name="foxtailsaddle")
    except FoxtailsaddleError as error:
        code = getattr(error, "remote_code", error.code)
        print(f"{code}: {error.message}", file=sys.stderr)
        sys.exit(EXIT_BY_CODE.get(code, EXIT_FAILED))
