"""Prints and plots the results of a plan."""

import math

from .plan import Plan, PolicyName
from .run import Result, p95

CLASSES = ("to_8k", "to_32k", "to_100k", "over_100k")
SHORT_CLASS = "to_8k"


def print_table(plan: Plan, results: list[Result]) -> None:
    """Print one row per load and policy.

    The columns by prompt length hold the p95 of the slowdown, which is the time to
    first token over the prefill time on an idle engine. "shorts w/wo" is the p95
    time to first token of short prompts with long prompts over that without them.
    """
    header = " ".join(f"{label:>10}" for label in CLASSES)
    print(
        f"{'load':>5} {'policy':24} {header} {'shorts w/wo':>12} "
        f"{'worst/oracle':>13} {'answered':>11} {'goodput':>8} {'refused in':>10}"
    )
    for result in results:
        if not result.with_long_prompts:
            continue
        cells = " ".join(
            f"{p95(result.slowdowns.get(label)):10.2f}" for label in CLASSES
        )
        print(
            f"{result.load:5.0%} {result.policy.value:24} {cells} "
            f"{_short_prompt_ratio(result, results):12.2f} "
            f"{_worst_ratio_to_oracle(result, results):13.2f} "
            f"{result.answered:5}/{len(result.seen):<5} "
            f"{result.goodput(plan):8.2f} {_slowest_refusal(result):>10}"
        )


def plot(results: list[Result], path: str) -> None:
    """Plot the slowdowns by prompt length to a PNG or SVG file."""
    from matplotlib import pyplot

    plotted = [result for result in results if result.with_long_prompts]
    loads = sorted({result.load for result in plotted})
    figure, panels = pyplot.subplots(
        1, len(loads), figsize=(4 * len(loads) + 2, 4.5), sharey=True, squeeze=False
    )
    for load, axes in zip(loads, panels[0], strict=True):
        for result in plotted:
            if result.load == load:
                values = [p95(result.slowdowns.get(label)) for label in CLASSES]
                axes.plot(CLASSES, values, marker="o", label=result.policy.value)
        axes.set_yscale("log")
        axes.set_title(f"{load:.0%} load")
        axes.set_xlabel("prompt length")
    panels[0][0].set_ylabel("p95 of time to first token over bare prefill")
    handles, labels = panels[0][0].get_legend_handles_labels()
    figure.legend(handles, labels, loc="center right", fontsize="small")
    figure.tight_layout(rect=(0, 0, 1 - 2 / (4 * len(loads) + 2), 1))
    figure.savefig(path)


def _slowest_refusal(result: Result) -> str:
    """Return the 99th percentile of the times until a refusal."""
    times_s = result.refusals_s
    if not times_s:
        return "-"
    return f"{times_s[int(0.99 * (len(times_s) - 1))] * 1000:.0f} ms"


def _short_prompt_ratio(result: Result, results: list[Result]) -> float:
    for other in results:
        is_counterpart = (other.policy, other.load) == (result.policy, result.load)
        if is_counterpart and not other.with_long_prompts:
            without_long_s = p95(other.first_token_s.get(SHORT_CLASS))
            return p95(result.first_token_s.get(SHORT_CLASS)) / without_long_s
    return math.nan


def _worst_ratio_to_oracle(result: Result, results: list[Result]) -> float:
    for other in results:
        is_oracle = other.policy is PolicyName.ORACLE and other.load == result.load
        if is_oracle and other.with_long_prompts:
            return max(
                p95(result.slowdowns.get(label)) / p95(other.slowdowns.get(label))
                for label in CLASSES
            )
    return math.nan
