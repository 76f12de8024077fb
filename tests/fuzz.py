"""Long fuzz runs: ``python -m tests.fuzz --seed N --minutes M``."""

import sys
import time
import traceback

import fire

from .storm import random_plan, run_plan

SECONDS_PER_MINUTE = 60


def main(seed: int = 1, minutes: float = 5, runs: int = 0) -> None:
    """Run storms with consecutive seeds and print every seed that fails.

    :param runs: stop after so many runs; 0 for no such bound.
    """
    print(f"first seed {seed}, for {minutes} minutes")
    end_at = time.monotonic() + minutes * SECONDS_PER_MINUTE
    failed: list[int] = []
    done = 0
    while time.monotonic() < end_at and (not runs or done < runs):
        try:
            run_plan(random_plan(seed), seed)
        except Exception:
            failed.append(seed)
            print(f"seed {seed} failed:")
            traceback.print_exc(limit=-3)
        seed += 1
        done += 1
    print(f"{done} runs, {len(failed)} failed: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
