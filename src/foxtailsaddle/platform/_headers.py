"""Reads and writes the platform's HTTP headers."""

import re

from .._input_readers import (
    MAX_TOKENS,
    read_decimal,
    read_digits,
    read_optional,
    read_signed_number,
)
from ..core import NO_NOTICE, AccountId, EndpointNotice, PromptPartId
from ..ports import CallerRequest, Dispatch, Headers, PromptSize, ResponseHead
from . import _names as names

HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
# The instance uses or sets these, so the caller's values are not passed on.
INSTANCE_SET_HEADERS = frozenset(
    (
        names.CLIENT_ACCOUNT,
        names.AUTHORIZATION,
        names.EXPECT_INSTANCE,
        names.PRIORITY,
        names.HELPERS,
        names.EXPECT_VERSION,
        names.DEADLINE_MS,
        b"content-length",
    )
)
LOWEST_PRIORITY = 9
MAX_SHARED_PARTS = 64  # callers choose the parts; the first ones are kept
MAX_PART_ID_CHARS = 32
HEXADECIMAL = re.compile("[0-9a-fA-F]+")


class PlatformHeaderCodec:
    """Decodes and encodes the platform's request and response headers."""

    def read_request(self, headers: Headers) -> CallerRequest:
        """Decode the headers of a caller's request."""
        by_name = dict(headers)
        return CallerRequest(
            id=by_name.get(names.REQUEST_ID, b"").decode("latin-1"),
            host=_host_without_port(by_name.get(b"host", b"")),
            deadline_s=_seconds_from_ms(by_name.get(names.DEADLINE_MS)),
            api_key=_api_key(by_name.get(names.AUTHORIZATION)),
            prompt_size=_prompt_size(by_name),
            shared_prompt_parts=_shared_parts(by_name.get(names.PROMPT_PREFIX, b"")),
        )

    def endpoint_headers(self, headers: Headers, dispatch: Dispatch) -> Headers:
        """Return the headers to send to an endpoint.

        Headers that frame the body (``content-length``, ``transfer-encoding``)
        are left out; the sender adds them.
        """
        dropped = (
            HOP_BY_HOP_HEADERS
            | INSTANCE_SET_HEADERS
            | _headers_named_by_connection(headers)
        )
        if dispatch.after_event is not None:
            dropped = dropped | {names.LAST_EVENT_ID}
        kept = [header for header in headers if header[0] not in dropped]
        remaining_ms = max(1, int(dispatch.remaining_s * 1000))
        kept.append((names.DEADLINE_MS, b"%d" % remaining_ms))
        kept.append((names.EXPECT_INSTANCE, dispatch.endpoint.encode()))
        if dispatch.account is not None:
            kept.append((names.CLIENT_ACCOUNT, _account_header(dispatch.account)))
        if dispatch.priority is not None:
            priority = min(LOWEST_PRIORITY, dispatch.priority)
            kept.append((names.PRIORITY, b"%d" % priority))
        if dispatch.helpers:
            kept.append((names.HELPERS, _helpers_header(dispatch.helpers)))
        if dispatch.after_event is not None:
            kept.append((names.LAST_EVENT_ID, dispatch.after_event.encode()))
        return kept

    def read_response(self, status: int, headers: Headers) -> ResponseHead:
        """Decode the status and headers of an endpoint's response."""
        by_name = dict(headers)
        refused = names.NOT_RUN in by_name or status == names.STATUS_MISDIRECTED_REQUEST
        return ResponseHead(
            status=status,
            refused=refused,
            lacks_proof=status in names.NOT_RUN_STATUSES and not refused,
            request_id=by_name.get(names.REQUEST_ID, b"").decode("latin-1"),
            failed_address=by_name.get(names.FAILED_ENDPOINT, b"").decode("latin-1"),
            notice=read_notice(status, headers),
        )

    def caller_headers(self, headers: Headers) -> Headers:
        """Return an endpoint's response headers without hop-by-hop headers.

        A length beside a transfer encoding is void, and left out as well.
        """
        dropped = HOP_BY_HOP_HEADERS | _headers_named_by_connection(headers)
        if any(name == b"transfer-encoding" for name, _ in headers):
            dropped = dropped | {b"content-length"}
        return [header for header in headers if header[0] not in dropped]

    def error_headers(self, request_id: str, retry_after_s: float | None) -> Headers:
        """Return the headers of an error response that the instance generates."""
        headers = [(b"content-type", b"application/json")]
        if request_id:
            headers.append((names.REQUEST_ID, request_id.encode("latin-1")))
        if retry_after_s is not None:
            headers.append((names.RETRY_AFTER, b"%.2f" % retry_after_s))
        return headers


def read_notice(status: int, headers: Headers) -> EndpointNotice:
    """Decode what an endpoint says of itself beside its response."""
    if status == names.STATUS_MISDIRECTED_REQUEST:
        # Sent by another endpoint, which has the address by now.
        return NO_NOTICE
    by_name = dict(headers)
    pause_s = 0.0
    if status == names.STATUS_SERVICE_UNAVAILABLE:
        pause_s = (
            read_optional(read_decimal, by_name.get(names.RETRY_AFTER, b"")) or 0.0
        )
    limit_per_s = read_optional(read_decimal, by_name.get(names.SERVER_LIMIT, b""))
    cold_ms = read_optional(read_decimal, by_name.get(names.COLD_MS, b"")) or 0.0
    return EndpointNotice(
        is_leaving=names.SERVER_LEAVING in by_name,
        pause_s=pause_s,
        limit_per_s=limit_per_s,
        has_unreadable_limit=names.SERVER_LIMIT in by_name and limit_per_s is None,
        cold_s=cold_ms / 1000,
    )


def _headers_named_by_connection(headers: Headers) -> frozenset[bytes]:
    """Return the names of the hop-by-hop headers that ``Connection`` lists."""
    connection_values = b",".join(
        value for name, value in headers if name == b"connection"
    )
    return frozenset(name.strip().lower() for name in connection_values.split(b","))


def _host_without_port(value: bytes) -> str:
    return value.decode("latin-1").lower().split(":")[0]


def _seconds_from_ms(value: bytes | None) -> float | None:
    """Convert milliseconds to seconds; ``None`` if absent or not a number."""
    ms = read_optional(read_signed_number, value)
    return max(0.0, ms / 1000) if ms is not None else None


def _api_key(value: bytes | None) -> str | None:
    """Return the key of an ``Authorization`` header with the token scheme."""
    scheme, _, key = (value or b"").decode("latin-1").partition(" ")
    return (
        key.strip()
        if scheme.lower() == names.AUTHORIZATION_SCHEME and key.strip()
        else None
    )


def _prompt_size(by_name: dict[bytes, bytes]) -> PromptSize | None:
    """Decode the token counts; ``None`` if they are absent or malformed."""
    if names.TOKEN_COUNTS not in by_name:
        return None
    counts, hint = by_name[names.TOKEN_COUNTS], by_name.get(names.LENGTH_HINT)
    return read_optional(_read_prompt_size, counts, hint)


def _read_prompt_size(counts: bytes, hint: bytes | None) -> PromptSize:
    prompt, max_output = counts.split(b",")
    likely = _tokens(hint) if hint is not None else None
    return PromptSize(_tokens(prompt), _tokens(max_output), likely)


def _tokens(value: bytes) -> int:
    """Decode a number of tokens; one that no engine can hold may be made smaller."""
    return min(MAX_TOKENS, read_digits(value.strip()))


def _shared_parts(value: bytes) -> tuple[PromptPartId, ...]:
    """Decode the parts of a prompt but the last, which belongs to this request only.

    :returns: each part once; none if any entry is malformed.
    """
    entries = value.decode("latin-1").split(",")
    parts = read_optional(lambda: [_part_id(entry) for entry in entries]) or []
    return tuple(dict.fromkeys(parts[:-1]))[:MAX_SHARED_PARTS]


def _part_id(entry: str) -> PromptPartId:
    """Decode one entry, a hexadecimal id and a number of tokens.

    :raises ValueError: the entry is malformed.
    """
    id, _, tokens = entry.strip().partition(":")
    if not (tokens.isascii() and tokens.isdecimal()):
        raise ValueError(f"not a number of tokens: {tokens!r}")
    if len(id) > MAX_PART_ID_CHARS or not HEXADECIMAL.fullmatch(id):
        raise ValueError(f"not the id of a part: {id!r}")
    return PromptPartId(id.lower())


def _account_header(account: AccountId) -> bytes:
    try:
        return account.encode("latin-1")
    except UnicodeEncodeError:
        return account.encode()


def _helpers_header(helpers: tuple[tuple[str, str], ...]) -> bytes:
    """Join the helpers as ``address/reservation`` or just ``address``."""
    entries = [f"{address}/{id}" if id else address for address, id in helpers]
    return ",".join(entries).encode("latin-1")
