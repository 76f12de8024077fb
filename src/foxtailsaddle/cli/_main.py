"""Commands of foxtailsaddle."""

import json
import sys

import fire

from ..errors import FoxtailsaddleError

EXIT_FAILED = 1


class Commands:
    """foxtailsaddle: a serving layer for prompts of very unlike lengths."""

    def serve(self, config: str, log_level: str = "INFO") -> None:
        """Run one entry instance until SIGTERM or SIGINT.

        :param config: the YAML file with the instance's settings.
        :param log_level: DEBUG, INFO, WARNING or ERROR.
        """
        from ._serve import serve

        serve(config, log_level)

    def check(self, file: str) -> str:
        """Validate a settings file and say what it holds."""
        from ..adapters import read_settings_file

        tree = read_settings_file(file).tree
        endpoints = sum(len(item.endpoints) for item in tree.services.values())
        return (
            f"{file}: valid; {len(tree.accounts)} client accounts, "
            f"{len(tree.services)} services, {endpoints} endpoints"
        )

    def explain(
        self, file: str, account: str, service: str, as_json: bool = False
    ) -> str:
        """Print each effective value and the level that set it."""
        from ..adapters import read_settings_file

        values = read_settings_file(file).tree.explain(account, service)
        if as_json:
            return json.dumps([item._asdict() for item in values])
        return "\n".join(
            f"{item.name:20} {item.value!s:>14}  from {item.level}" for item in values
        )


def main() -> None:
    """Run the command line; errors go to standard error with their code."""
    try:
        fire.Fire(Commands, name="foxtailsaddle")
    except FoxtailsaddleError as error:
        print(f"{error.code}: {error.message}", file=sys.stderr)
        sys.exit(EXIT_FAILED)
