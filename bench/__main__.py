"""``python -m bench --plan FILE``: run a plan and print its tables."""

import concurrent.futures
import itertools
import sys

import fire

from foxtailsaddle.errors import FoxtailsaddleError

from .plan import Plan, read_plan
from .real import run_real
from .report import plot, print_table
from .run import Result, fill_histograms, run_policy


def run_plan(plan: Plan, workers: int) -> list[Result]:
    """Run every policy at every load, with and without the long prompts."""
    long_ones = (True, False) if plan.without_long else (True,)
    cases = list(itertools.product(plan.loads, plan.policies, long_ones))
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        futures = [
            pool.submit(run_policy, plan, policy, load, mark)
            for load, policy, mark in cases
        ]
        results = [future.result() for future in futures]
    for result in results:
        fill_histograms(plan, result)
    return results


def main(plan: str, png: str = "", workers: int = 3, real: bool = False) -> None:
    """Run a plan.

    :param plan: the YAML file with the plan.
    :param real: run the product alone, as processes in real time.
    :param workers: runs at the same time; they share nothing.
    :param png: where to draw the slowdowns by prompt length.
    """
    try:
        read = read_plan(plan)
    except FoxtailsaddleError as error:
        print(f"{error.code}: {error.message}", file=sys.stderr)
        sys.exit(1)
    if real:
        results = [run_real(read, load) for load in read.loads]
        for result in results:
            fill_histograms(read, result)
    else:
        results = run_plan(read, workers)
    print_table(read, results)
    if png:
        plot(results, png)


if __name__ == "__main__":
    fire.Fire(main)
