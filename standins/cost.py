"""Cost model of the stand-in engines."""

PREFILL_TOKENS_PER_S = 20_000
PREFILL_CHUNK_TOKENS = 512
DECODE_BASE_S = 0.008
DECODE_PER_SEQUENCE_S = 0.0004
BYTES_PER_TOKEN = 4
KV_BYTES_PER_TOKEN = 131_072
CAPACITY_TOKENS = 400_000
CACHE_BLOCK_TOKENS = 1024
WEIGHT_BYTES_PER_S = 2_000_000_000


def decode_interval_s(batch: int) -> float:
    """Return the seconds between tokens of a sequence in a batch of ``batch``."""
    return DECODE_BASE_S + DECODE_PER_SEQUENCE_S * batch


def count_tokens(text: str) -> int:
    """Return the number of tokens of a prompt."""
    return max(1, len(text.encode()) // BYTES_PER_TOKEN)
