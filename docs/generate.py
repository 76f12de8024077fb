"""Writes the generated parts of the pages, or checks that they are current.

``make docs`` writes; ``make docs-check`` fails when a page is out of date or
names a command, a make target, a test or a file that does not exist.
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
    """Return a table of settings for each part of the tree."""
    parts = []
    for title, model in MODELS.items():
        parts.append(
            f"### `{title}`\n\n| setting | default | meaning |\n| --- | --- | --- |"
        )
        parts += [_row(name, field) for name, field in model.model_fields.items()]
        parts.append("")
    return "\n".join(parts)


def _row(name: str, field: pydantic.fields.FieldInfo) -> str:
    default = "required" if field.is_required() else f"`{_shown(field.default)}`"
    return f"| `{name}` | {default} | {field.description or ''} |"


def _shown(value: object) -> object:
    if isinstance(value, pydantic.BaseModel):
        return "{}"
    return getattr(value, "value", value)


def generated(page: str) -> str:
    """Return the operators' page with its settings written anew."""
    before, _, rest = page.partition(BEGIN)
    _, _, after = rest.partition(END)
    return f"{before}{BEGIN}\n{settings_tables()}\n{END}{after}"


def problems() -> list[str]:
    """Return what the pages name that does not exist."""
    makefile = (ROOT / "Makefile").read_text(encoding="utf-8")
    targets = set(re.findall(r"^([a-z-]+):", makefile, re.M))
    found = []
    for page in [*ROOT.glob("*.md"), *ROOT.glob("docs/*.md")]:
        text = page.read_text(encoding="utf-8")
        for target in re.findall(r"`make ([a-z-]+)", text):
            if target not in targets:
                found.append(f'{page.name}: make target "{target}" does not exist')
        for path in re.findall(
            r"`((?:src|tests|bench|standins|docs|demo)/[\w./-]+)`", text
        ):
            if not (ROOT / path).exists():
                found.append(f'{page.name}: file "{path}" does not exist')
        for name, test in re.findall(r"`(test_\w+\.py)::(\w+)`", text):
            file = ROOT / "tests" / name
            if not file.exists() or test not in file.read_text(encoding="utf-8"):
                found.append(f'{page.name}: test "{name}::{test}" does not exist')
    return found


def main(check: bool = False) -> None:
    """Write the generated parts, or with ``--check`` only compare."""
    page = OPERATIONS.read_text(encoding="utf-8")
    if not check:
        OPERATIONS.write_text(generated(page), encoding="utf-8")
        return
    found = problems()
    if generated(page) != page:
        found.append("OPERATIONS.md: settings are out of date; run make docs")
    for problem in found:
        print(problem, file=sys.stderr)
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    fire.Fire(main)
