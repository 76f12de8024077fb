"""Parts of chats that several prompts may share: their messages but the last."""

import hashlib
import json
import typing as t

from ._ids import PromptPartId

MAX_PARTS = 64  # callers choose the messages; the first ones are kept
DIGEST_BYTES = 12


def parts_of_chat(
    messages: t.Sequence[t.Mapping[str, t.Any]], service: str
) -> tuple[PromptPartId, ...]:
    """Return a digest of each message but the last, which belongs to this request.

    Digests for different services never match, since each has its own engines.
    """
    digests = [_digest(message, service) for message in messages[:-1][:MAX_PARTS]]
    return tuple(dict.fromkeys(digests))


def _digest(message: t.Mapping[str, t.Any], service: str) -> PromptPartId:
    text = json.dumps([service, message], sort_keys=True)
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES)
    return PromptPartId(digest.hexdigest())
