"""Length classes of prompts, for metrics and measurements."""

# (longest prompt in tokens, label)
LENGTH_CLASSES = ((8_000, "to_8k"), (32_000, "to_32k"), (100_000, "to_100k"))
LONGEST_CLASS = "over_100k"


def length_class(tokens: int) -> str:
    """Return the label of a prompt's length class."""
    for max_tokens, label in LENGTH_CLASSES:
        if tokens <= max_tokens:
            return label
    return LONGEST_CLASS
