"""Writes the generated parts of the documentation or checks that they are current.

``make docs`` writes them. ``make docs-check`` fails if a page is out of date or
names a make target, a test or a file that does not exist.
"""

import pathlib
import re
import sys

import fire
import pydantic

from foxtailsaddle.core import Account, Endpoint, InstanceSettings, Policy, Service

ROOT = pathlib.Path(__file__).resolve().parent.parent
OPERATIONS = ROOT / "docs" / "OPERATIONS.md"
BEGIN, END = "<!-- settings: begin -->", "<!-- settings: end -->"
MODELS = {
    "instance": InstanceSettings,
    "base, client account, service (policy)": Policy,
    "services.NAME": Service,
    "services.NAME.endpoints.NAME": Endpoint,
    "accounts.NAME": Account,
}


def settings_tables() -> str:
    """Return a Markdown table of settings for each part of the settings."""
    parts = []
    for title, model in MODELS.items():
        parts.append(
            f"### `{title}`\n\n| setting | default | meaning |\n| --- | --- | --- |"
        )
        parts += [_row(name, field) for name, field in model.model_fields.items()]
        parts.append("")
    return "\n".join(parts)


def _row(name: str, field: pydantic.fields.FieldInfo) -> str:
    default = (
        "required" if field.is_required() else f"`{_display_value(field.default)}`"
    )
    return f"| `{name}` | {default} | {field.description or ''} |"


def _display_value(value: object) -> object:
    if isinstance(value, pydantic.BaseModel):
        return "{}"
    return getattr(value, "value", value)


def updated_page(page: str) -> str:
    """Return the text of a page with its settings tables replaced."""
    before, _, rest = page.partition(BEGIN)
    _, _, after = rest.partition(END)
    return f"{before}{BEGIN}\n{settings_tables()}\n{END}{after}"


def broken_references() -> list[str]:
    """Return a message for each thing that the pages name and that is missing."""
    makefile = (ROOT / "Makefile").read_text(encoding="utf-8")
    targets = set(re.findall(r"^([a-z-]+):", makefile, re.M))
    problems = []
    for page in [*ROOT.glob("*.md"), *ROOT.glob("docs/*.md")]:
        text = page.read_text(encoding="utf-8")
        for target in re.findall(r"`make ([a-z-]+)", text):
            if target not in targets:
                problems.append(f'{page.name}: make target "{target}" does not exist')
        for path in re.findall(
            r"`((?:src|tests|bench|standins|docs|demo)/[\w./-]+)`", text
        ):
            if not (ROOT / path).exists():
                problems.append(f'{page.name}: file "{path}" does not exist')
        for name, test in re.findall(r"`(test_\w+\.py)::(\w+)`", text):
            file = ROOT / "tests" / name
            if not file.exists() or test not in file.read_text(encoding="utf-8"):
                problems.append(f'{page.name}: test "{name}::{test}" does not exist')
    return problems


def main(check: bool = False) -> None:
    """Write the generated parts.

    :param check: only check the pages; exit with 1 if there are problems.
    """
    page = OPERATIONS.read_text(encoding="utf-8")
    if not check:
        OPERATIONS.write_text(updated_page(page), encoding="utf-8")
        return
    problems = broken_references()
    if updated_page(page) != page:
        problems.append("OPERATIONS.md: settings are out of date; run make docs")
    for problem in problems:
        print(problem, file=sys.stderr)
    sys.exit(1 if problems else 0)


if __name__ == "__main__":
    fire.Fire(main)
