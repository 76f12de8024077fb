"""Fields that several log lines about a request have in common."""

from ..core import PromptPartId
from ..ports import CallerRequest

MAX_LOGGED_PARTS = 8


def logged_parts(request: CallerRequest) -> tuple[PromptPartId, ...]:
    """Return the first parts of a prompt that other requests may share."""
    return request.shared_prompt_parts[:MAX_LOGGED_PARTS]
