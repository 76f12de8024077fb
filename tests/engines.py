"""Engines as the users' deployments describe them, for tests of decisions."""

from foxtailsaddle.core import (
    DataCentre,
    EndpointId,
    EngineCandidate,
    EngineLoad,
    EngineSpec,
    EngineTime,
    PromptDemand,
)

HOME = DataCentre("a")
SPEC = EngineSpec(
    slots=8,
    kv_tokens=232_000,
    stride=43,
    step_ms=1.02,
    writer_ms=0.0045,
    context_ms_per_k=0.0043,
    read_tokens_per_ms=206.0,
    pair_ms_per_m=0.138,
    chunk_tokens=2048,
    hop_ms=0.075,
)
TIME = EngineTime(SPEC)
SHORT_GAP_MS = 250.0


def engine(name, *, shorts=0, longs=0, read_ms=0.0, kv=0, dc=HOME, **options):
    """Return a candidate that writes so many short and long answers."""
    load = EngineLoad(
        read_ms=read_ms,
        requests=shorts + longs,
        writers=shorts + longs,
        context_tokens=shorts * 5_000 + longs * 130_000,
        kv_tokens=kv + shorts * 6_000 + longs * 131_000,
        gaps_ms=[(SHORT_GAP_MS, 1.3)] * shorts + [(1000.0, 10.0)] * longs,
    )
    return EngineCandidate(EndpointId(name), dc, load, **options)


def short_prompt():
    """Return what a prompt of 5,000 tokens demands."""
    return PromptDemand(5_000, 1_300, 300.0, SHORT_GAP_MS, 1.3)


def long_prompt(tokens=133_000, aim_ms=3000.0):
    """Return what a long prompt demands."""
    return PromptDemand(tokens, 700, aim_ms, 1000.0, 10.0)
