"""Header names of requests and answers."""

from ..core import AccountId
from ..ports import AnswerHead, CallerRequest, Dispatch, Headers, PromptSize
from . import _names as names

HOP_BY_HOP = frozenset(
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
SET_BY_US = frozenset(
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


class PlatformWire:
    """The platform's headers, decoded and written."""

    def read_request(self, headers: Headers) -> CallerRequest:
        """Decode a caller's headers."""
        by_name = dict(headers)
        return CallerRequest(
            id=by_name.get(names.REQUEST_ID, b"").decode("latin-1"),
            host=_host(by_name.get(b"host", b"")),
            deadline_s=_milliseconds(by_name.get(names.DEADLINE_MS)),
            key=_key(by_name.get(names.AUTHORIZATION)),
            prompt=_prompt(by_name),
        )

    def endpoint_headers(self, headers: Headers, dispatch: Dispatch) -> Headers:
        """Return the headers for an endpoint, without those that frame the body."""
        dropped = HOP_BY_HOP | SET_BY_US | _connection_names(headers)
        if dispatch.after_event is not None:
            dropped = dropped | {names.LAST_EVENT_ID}
        kept = [item for item in headers if item[0] not in dropped]
        left_ms = max(1, int(dispatch.left_s * 1000))
        kept.append((names.DEADLINE_MS, b"%d" % left_ms))
        kept.append((names.EXPECT_INSTANCE, dispatch.endpoint.encode()))
        if dispatch.account is not None:
            kept.append((names.CLIENT_ACCOUNT, _account(dispatch.account)))
        if dispatch.priority is not None:
            priority = min(LOWEST_PRIORITY, dispatch.priority)
            kept.append((names.PRIORITY, b"%d" % priority))
        if dispatch.helpers:
            kept.append((names.HELPERS, _helpers(dispatch.helpers)))
        if dispatch.after_event is not None:
            kept.append((names.LAST_EVENT_ID, dispatch.after_event.encode()))
        return kept

    def read_answer(self, status: int, headers: Headers) -> AnswerHead:
        """Decode the head of an endpoint's answer."""
        by_name = dict(headers)
        refused = names.NOT_RUN in by_name or status == names.STATUS_MISDIRECTED
        return AnswerHead(
            status=status,
            refused=refused,
            request_id=by_name.get(names.REQUEST_ID, b"").decode("latin-1"),
            fault_at=by_name.get(names.FAULT_AT, b"").decode("latin-1"),
        )

    def caller_headers(self, headers: Headers) -> Headers:
        """Return an endpoint's headers as the caller gets them."""
        dropped = HOP_BY_HOP | _connection_names(headers)
        return [item for item in headers if item[0] not in dropped]

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> Headers:
        """Return the headers of an answer of our own."""
        headers = [(b"content-type", b"application/json")]
        if request_id:
            headers.append((names.REQUEST_ID, request_id.encode("latin-1")))
        if retry_after_s is not None:
            headers.append((names.RETRY_AFTER, b"%.2f" % retry_after_s))
        return headers


def _connection_names(headers: Headers) -> frozenset[bytes]:
    named = b",".join(value for name, value in headers if name == b"connection")
    return frozenset(item.strip().lower() for item in named.split(b","))


def _host(value: bytes) -> str:
    return value.decode("latin-1").lower().split(":")[0]


def _milliseconds(value: bytes | None) -> float | None:
    try:
        return max(0.0, float(value) / 1000) if value is not None else None
    except ValueError:
        return None


def _key(value: bytes | None) -> str | None:
    scheme, _, key = (value or b"").decode("latin-1").partition(" ")
    return key.strip() if scheme.lower() == names.SCHEME and key.strip() else None


def _prompt(by_name: dict[bytes, bytes]) -> PromptSize | None:
    try:
        prompt, max_output = by_name[names.TOKENS].split(b",")
        hint = by_name.get(names.LENGTH_HINT)
        likely = int(hint) if hint is not None else None
        return PromptSize(int(prompt), int(max_output), likely)
    except (KeyError, ValueError):
        return None


def _account(account: AccountId) -> bytes:
    return account.encode("latin-1")


def _helpers(helpers: tuple[tuple[str, str], ...]) -> bytes:
    entries = [f"{address}/{id}" if id else address for address, id in helpers]
    return ",".join(entries).encode("latin-1")
