"""foxtailsaddle: a serving layer for prompts of very different lengths."""

from .verdicts import Verdict

__version__ = "0.1.0"
__all__ = ["Verdict", "__version__"]
