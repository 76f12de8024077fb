"""Engine candidates and prompt demands for the tests of placement."""

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
    step_ms_per_request=0.0045,
    context_ms_per_k=0.0043,
    prefill_tokens_per_ms=206.0,
    pair_ms_per_m=0.138,
    chunk_tokens=2048,
    hop_ms=0.075,
)
TIME = EngineTime(SPEC)
SHORT_TOKEN_GAP_MS = 250.0


def engine(
    name,
    *,
    short_requests=0,
    long_requests=0,
    prefill_ms=0.0,
    other_kv_tokens=0,
    data_centre=HOME,
    pending_first_events=(),
    **options,
):
    """Return an engine that decodes the given numbers of short and long answers.

    :param other_kv_tokens: KV-cache tokens in use beyond those of its requests.
    """
    load = EngineLoad(
        prefill_ms=prefill_ms,
        requests=short_requests + long_requests,
        decoding_requests=short_requests + long_requests,
        context_tokens=short_requests * 5_000 + long_requests * 130_000,
        kv_tokens=other_kv_tokens + short_requests * 6_000 + long_requests * 131_000,
        weighted_gaps_ms=[(SHORT_TOKEN_GAP_MS, 1.3)] * short_requests
        + [(1000.0, 10.0)] * long_requests,
        pending_first_events=list(pending_first_events),
    )
    return EngineCandidate(EndpointId(name), data_centre, load, **options)


def short_prompt():
    """Return the demand of a prompt of 5,000 tokens."""
    return PromptDemand(5_000, 1_300, 300.0, SHORT_TOKEN_GAP_MS, 1.3)


def long_prompt(tokens=133_000, aim_ms=3000.0):
    """Return the demand of a long prompt, 133,000 tokens by default."""
    return PromptDemand(tokens, 700, aim_ms, 1000.0, 10.0)
