"""Predicts how long a model engine takes, from its published speeds.

An engine works in passes. A pass is one step while no request is decoded, and
``stride`` steps otherwise. In each step the engine can also prefill one chunk of
the waiting prompts.
"""

import dataclasses

from ._routes import EngineSpec

TOKEN_PAIRS_UNIT = 1e6
CONTEXT_TOKENS_UNIT = 1e3


@dataclasses.dataclass(frozen=True, slots=True)
class EngineTime:
    """Predictions for the engines of one service; all times are in milliseconds."""

    spec: EngineSpec

    def prefill_ms(self, tokens: int, parts: int = 1) -> float:
        """Return the prefill time of a prompt at each of ``parts`` engines."""
        pairs = tokens * tokens / 2 / TOKEN_PAIRS_UNIT
        total_ms = (
            tokens / self.spec.prefill_tokens_per_ms + pairs * self.spec.pair_ms_per_m
        )
        return total_ms / parts

    def step_ms(self, decoding: int, context_tokens: float) -> float:
        """Return the time of one token step.

        :param decoding: requests that are decoded.
        :param context_tokens: tokens of their context.
        """
        return (
            self.spec.step_ms
            + self.spec.step_ms_per_request * decoding
            + self.spec.context_ms_per_k * context_tokens / CONTEXT_TOKENS_UNIT
        )

    def pass_ms(self, decoding: int, context_tokens: float) -> float:
        """Return the time of a pass that decodes requests and prefills nothing."""
        return self.spec.stride * self.step_ms(decoding, context_tokens)

    def context_pass_ms(self, context_tokens: float) -> float:
        """Return the part of a pass's time that the requests' context causes."""
        return (
            self.spec.stride
            * self.spec.context_ms_per_k
            * context_tokens
            / CONTEXT_TOKENS_UNIT
        )

    def decode_ms(self, tokens: int, decoding: int, context_tokens: float) -> float:
        """Return the time to decode ``tokens`` of one request."""
        return tokens * self.step_ms(decoding, context_tokens)

    @property
    def readable_tokens(self) -> int:
        """Prompt tokens that one pass can prefill while requests are decoded."""
        return self.spec.chunk_tokens * self.spec.stride
