"""Decodes the operator's configuration into a route table."""

import sys
import typing as t

from .._input_readers import (
    MAX_CONFIGURED_TEXT_BYTES,
    MAX_NUMBER,
    read_count,
    read_json,
    read_number,
    read_printable_text,
    read_text,
    reading,
)
from ..core import (
    AccountId,
    ClientAccount,
    ColdStartSpec,
    EngineSpec,
    Route,
    RouteKind,
    RouteTable,
    ServiceId,
    ServiceSpec,
    Split,
    TrafficLimits,
)
from ..errors import SettingsError


def decode_configuration(value: bytes) -> RouteTable:
    """Decode the JSON text of a configuration; unknown fields are ignored.

    :raises SettingsError: a field is missing or has the wrong type.
    """
    with reading("configuration", SettingsError):
        fields = read_json(value)
        return RouteTable(
            version=read_count(fields["version"]),
            routes=[_decode_route(item) for item in fields["routes"]],
            services=[_decode_service(item) for item in fields["services"]],
            account_by_key=_decode_accounts(fields.get("tenants") or []),
            limits=_decode_limits(fields.get("limits") or {}),
            has_accounts="tenants" in fields,
        )


def _decode_route(item: dict[str, t.Any]) -> Route:
    splits = item.get("traffic_split") or [{"service": item["service"], "weight": 1}]
    return Route(
        name=_text(item["name"]),
        host=_text(item["host"]).lower(),
        prefix=_text(item["prefix"]),
        kind=RouteKind(item["kind"]),
        splits=tuple(
            Split(ServiceId(_text(split["service"])), read_number(split["weight"]))
            for split in splits
        ),
        timeout_s=read_number(item["timeout_ms"]) / 1000,
        first_event_target_s=read_number(
            item.get("target_latency_ms", item["timeout_ms"])
        )
        / 1000,
        gap_s=read_number(item.get("target_gap_ms", 0)) / 1000,
        max_attempts=read_count(item.get("max_attempts", 1)),
        priority=int(_signed(item.get("priority", 0))),
        resumable=bool(item.get("resumable", False)),
        public=bool(item.get("public", False)),
    )


def _decode_service(item: dict[str, t.Any]) -> ServiceSpec:
    engine = item.get("engine")
    return ServiceSpec(
        id=ServiceId(_text(item["name"])),
        health_path=_text(item.get("health_path", "/")),
        max_connections=read_count(item.get("max_connections", 0)),
        engine=_decode_engine(engine) if engine else None,
        cold_start=_decode_cold_start(item),
    )


def _decode_cold_start(item: dict[str, t.Any]) -> ColdStartSpec | None:
    """Decode what cold endpoints tolerate; ``None`` if they tolerate any load."""
    duration_s = _signed(item.get("cold_start_s") or 0)
    per_s = _signed(item.get("cold_per_s") or 0)
    if not (duration_s > 0 and per_s > 0):
        return None
    return ColdStartSpec(duration_s, per_s)


def _decode_engine(item: dict[str, t.Any]) -> EngineSpec:
    return EngineSpec(
        slots=read_count(item["slots"], low=1),
        kv_tokens=read_count(item["kv_capacity_tokens"]),
        stride=max(1, read_count(item.get("stride", 1))),
        step_ms=read_number(item["step_ms"]),
        step_ms_per_request=read_number(item.get("per_seq_ms", 0)),
        context_ms_per_k=read_number(item.get("context_per_k", 0)),
        prefill_tokens_per_ms=_positive(item["read_per_s"]) / 1000,
        pair_ms_per_m=read_number(item.get("pairs_per_m", 0)),
        chunk_tokens=read_count(item.get("chunk", 2048), low=1),
        hop_ms=read_number(item.get("hop_ms", 0)),
    )


def _decode_accounts(items: list[dict[str, t.Any]]) -> dict[str, ClientAccount]:
    account_by_key = {}
    for item in items:
        name, priority = read_printable_text(item["name"]), item.get("priority")
        account = ClientAccount(
            AccountId(name), None if priority is None else int(_signed(priority))
        )
        for key in item.get("api_keys") or []:
            account_by_key[_text(key)] = account
    return account_by_key


def _decode_limits(item: dict[str, t.Any]) -> TrafficLimits:
    defaults = TrafficLimits()
    header_timeout_ms = item.get("header_timeout_ms", defaults.header_timeout_s * 1000)
    idle_timeout_ms = item.get("idle_timeout_ms", defaults.idle_timeout_s * 1000)
    return TrafficLimits(
        header_bytes=read_count(item.get("max_header_bytes", defaults.header_bytes)),
        body_bytes=read_count(item.get("max_body_bytes", defaults.body_bytes)),
        header_timeout_s=read_number(header_timeout_ms) / 1000,
        idle_timeout_s=read_number(idle_timeout_ms) / 1000,
    )


def _text(value: t.Any) -> str:
    return read_text(value, MAX_CONFIGURED_TEXT_BYTES)


def _signed(value: t.Any) -> float:
    return read_number(value, low=-MAX_NUMBER)


def _positive(value: t.Any) -> float:
    return read_number(value, low=sys.float_info.min)
