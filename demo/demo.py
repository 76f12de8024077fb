"""Starts a small fleet, sends prompts of very different lengths, prints a table."""

import contextlib
import os
import pathlib
import signal
import sys
import time

import trio

from foxtailsaddle.adapters import HttpcoreClient, OperatorClient
from standins.caller import Caller, CallRecord
from standins.engine_model import expected_answer
from standins.fleet import CALLER_KEY, OPERATOR_KEY, Fleet

PROMPT_LENGTHS_TOKENS = (1_000, 30_000, 300_000)
OUTPUT_TOKENS = 24
BYTES_PER_TOKEN = 4
ROOT = pathlib.Path(__file__).resolve().parent.parent


def sample_text(tokens: int) -> str:
    """Return text of about ``tokens`` tokens from the project's documentation."""
    pages = sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/*.md")])
    text = "\n".join(page.read_text(encoding="utf-8") for page in pages)
    text = text.encode("ascii", "ignore").decode()
    size = tokens * BYTES_PER_TOKEN
    return (text * (size // len(text) + 1))[:size]


async def send_all(fleet: Fleet) -> list[tuple[str, CallRecord, str]]:
    """Send the prompts and a call of the plain service concurrently.

    Return the label, the outcome and the endpoint of each request.
    """
    client = HttpcoreClient()
    caller = Caller(client)
    rows: list[tuple[str, CallRecord, str]] = []
    urls = [fleet.process_by_name[name].url for name in fleet.instance_ports]

    async def prompt(number: int, tokens: int) -> None:
        url = urls[number % len(urls)]
        text = sample_text(tokens)
        record = await caller.complete(url, text, OUTPUT_TOKENS, allowed_s=120)
        if record.code == "ok" and record.text != expected_answer(text, OUTPUT_TOKENS):
            record.code = "wrong answer"
        rows.append(
            (
                f"{tokens:,} tokens",
                record,
                await _serving_endpoint(fleet, client, record),
            )
        )

    async def sign_off() -> None:
        body = b'{"ride": "carousel 7", "verdict": "pass"}'
        record = await caller.call(urls[0], "sign-offs", body, key="demo-sign-off")
        rows.append(
            ("1 sign-off", record, await _serving_endpoint(fleet, client, record))
        )

    async with trio.open_nursery() as nursery:
        for number, tokens in enumerate(PROMPT_LENGTHS_TOKENS):
            nursery.start_soon(prompt, number, tokens)
        nursery.start_soon(sign_off)
    await client.aclose()
    return rows


async def _serving_endpoint(
    fleet: Fleet, client: HttpcoreClient, record: CallRecord
) -> str:
    """Return the endpoint that served a request, as the instance reports it."""
    instance = record.request_id.partition("~")[0]
    if instance not in fleet.instance_ports:
        return "-"
    operator = OperatorClient(client, fleet.operator_url(instance), OPERATOR_KEY)
    steps = await operator.request(record.request_id)
    routed = [step["reason"] for step in steps if step["decision"] == "routed"]
    return routed[-1].split('"')[1] if routed else "-"


def print_table(rows: list[tuple[str, CallRecord, str]]) -> None:
    """Print one line for each request, fastest first."""
    print(f"{'request':>16} {'first token':>12} {'total':>8}  endpoint  verdict  end")
    for label, record, endpoint in sorted(rows, key=lambda row: row[1].total_s):
        first_token = f"{record.first_token_s:.2f} s" if record.first_token_s else "-"
        print(
            f"{label:>16} {first_token:>12} {record.total_s:6.2f} s  {endpoint:8}  "
            f"{record.verdict:7}  {record.code}"
        )


def print_curl(fleet: Fleet) -> None:
    """Print ``curl`` commands for the running fleet."""
    callers, operators, _ = fleet.instance_ports["i1"]
    print("\nThe fleet goes on serving; press Ctrl+C to end it. Try:")
    print(
        f"curl -N http://127.0.0.1:{callers}/v1/completions "
        f"-H 'Authorization: Bearer {CALLER_KEY}' "
        '-d \'{"model": "drafts", "prompt": "hello", "stream": true}\''
    )
    print(
        f"curl http://127.0.0.1:{callers}/v1/services/register/sign-offs "
        f"-H 'Authorization: Bearer {CALLER_KEY}' -H 'Idempotency-Key: k1' "
        "-d '{\"ride\": 7}'"
    )
    print(
        f"curl http://127.0.0.1:{operators}/endpoints "
        f"-H 'Authorization: Bearer {OPERATOR_KEY}'"
    )


def _interrupt(*_: object) -> None:
    """Handle SIGTERM like Ctrl+C, so that the fleet is stopped too."""
    raise KeyboardInterrupt


def main() -> int:
    """Run the demo; return 0 if every request got a complete answer, else 1."""
    signal.signal(signal.SIGTERM, _interrupt)
    binary = os.environ.get("FOXTAILSADDLE", f"{sys.executable} -m foxtailsaddle")
    with Fleet(ROOT / "demo" / "run", binary=binary.split()) as fleet:
        time.sleep(1)
        rows = trio.run(send_all, fleet)
        print_table(rows)
        if os.environ.get("KEEP"):
            print_curl(fleet)
            with contextlib.suppress(KeyboardInterrupt):
                signal.pause()
    return 0 if all(record.code == "ok" for _, record, _ in rows) else 1


if __name__ == "__main__":
    sys.exit(main())
