"""Long fuzz runs: ``python -m tests.fuzz --seed N --minutes M``."""

import sys
import time
import traceback

import fire

from .fault_injection import random_plan, run_plan

SECONDS_PER_MINUTE = 60


def main(seed: int = 1, minutes: float = 5, runs: int = 0) -> None:
    """Run fault-injection plans of consecutive seeds and print each that fails.

    :param seed: the first seed.
    :param minutes: start no run after this time.
    :param runs: maximum number of runs; 0 for no limit.
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
