"""Command line ``python -m bench --plan FILE``: runs a plan and prints its table."""

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
    with_long_prompts = (True, False) if plan.without_long else (True,)
    cases = list(itertools.product(plan.loads, plan.policies, with_long_prompts))
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        futures = [
            pool.submit(run_policy, plan, policy, load, with_long)
            for load, policy, with_long in cases
        ]
        results = [future.result() for future in futures]
    for result in results:
        fill_histograms(plan, result)
    return results


def main(plan: str, png: str = "", workers: int = 3, real: bool = False) -> None:
    """Run a plan.

    :param plan: YAML file with the plan.
    :param png: file to which the slowdowns by prompt length are plotted.
    :param workers: number of simulations that run in parallel, each in a process.
    :param real: run only the product, as processes in real time.
    """
    try:
        experiment = read_plan(plan)
    except FoxtailsaddleError as error:
        print(f"{error.code}: {error.message}", file=sys.stderr)
        sys.exit(1)
    if real:
        results = [run_real(experiment, load) for load in experiment.loads]
        for result in results:
            fill_histograms(experiment, result)
    else:
        results = run_plan(experiment, workers)
    print_table(experiment, results)
    if png:
        plot(results, png)


if __name__ == "__main__":
    fire.Fire(main)
