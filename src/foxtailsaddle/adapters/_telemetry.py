"""Metrics, tracing and logging."""

import logging
import sys
import typing as t

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from pythonjsonlogger.json import JsonFormatter

from .._client_room import ClientRoom
from ..core import ConnectionStage

TTFT_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 1.0, 1.3, 2.5, 5.0, 10.0, 30.0, 60.0, 120.0)


class Metrics:
    """The Prometheus metrics of one instance.

    :param rooms: what clients hold, by the name of their address.
    """

    def __init__(self, rooms: t.Mapping[str, ClientRoom] | None = None) -> None:
        self._registry = Registry()
        self._rooms = rooms or {}
        self.requests = self._register(Counter, "requests_total", "Requests by code.")
        self.attempts = self._register(
            Counter, "attempts_total", "Attempts by endpoint and result."
        )
        self.ttft = self._register(
            Histogram,
            "time_to_first_token_seconds",
            "Time to first token by prompt length.",
            buckets=list(TTFT_BUCKETS_S),
        )
        self.in_flight = self._register(
            Gauge, "requests_in_flight", "Requests being served."
        )
        self.settings_revision = self._register(
            Gauge, "settings_revision", "Revision of the settings in force."
        )
        self.live_instances = self._register(
            Gauge, "live_instances", "Live instances, this one included."
        )
        self.cold_starts = self._register(
            Counter, "cold_starts_total", "Loads of a model that were ordered."
        )
        self.orphans_cancelled = self._register(
            Counter, "orphans_cancelled_total", "Attempts cancelled for nobody."
        )

        self._client_bytes = self._register(
            Gauge, "client_bytes", "Bytes of clients that are held, by address."
        )
        self._client_connections = self._register(
            Gauge, "client_connections", "Open connections by address and stage."
        )
        self._clients_ended = self._register(
            Counter, "clients_ended_total", "Clients refused or ended for lack of room."
        )

    def render(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the metrics page and its headers."""
        for address, room in self._rooms.items():
            self._set_clients(address, room)
        return render(self._registry, accept)

    def _set_clients(self, address: str, room: ClientRoom) -> None:
        self._client_bytes.set({"address": address}, room.budget.held_bytes)
        for stage in ConnectionStage:
            labels = {"address": address, "stage": stage.value}
            self._client_connections.set(labels, room.budget.count(stage))
        for cause, count in room.count_by_cause.items():
            self._clients_ended.set({"address": address, "cause": cause}, count)

    def _register(
        self, metric_type: type, name: str, help_text: str, **options: t.Any
    ) -> t.Any:
        return metric_type(name, help_text, registry=self._registry, **options)


class LogSpanExporter(SpanExporter):
    """Writes each finished span as one line of the JSON log."""

    _logger = logging.getLogger("foxtailsaddle.trace")

    def export(self, spans: list[ReadableSpan]) -> SpanExportResult:
        """Write the spans."""
        for span in spans:
            self._logger.info(
                "trace: span ended",
                extra={
                    "span": span.name,
                    "trace_id": f"{span.context.trace_id:032x}",
                    "ms": round((span.end_time - span.start_time) / 1e6, 1),
                    **dict(span.attributes or {}),
                },
            )
        return SpanExportResult.SUCCESS


def new_tracer(instance: str, otlp_url: str | None) -> trace.Tracer:
    """Return a tracer that exports spans to ``otlp_url``, or to the log if ``None``."""
    provider = TracerProvider(resource=Resource({"service.instance.id": instance}))
    if otlp_url is None:
        provider.add_span_processor(SimpleSpanProcessor(LogSpanExporter()))
    else:
        # Imported only here because it loads requests and protobuf, which
        # take memory.
        from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
            OTLPSpanExporter,
        )

        exporter = OTLPSpanExporter(endpoint=otlp_url)
        provider.add_span_processor(BatchSpanProcessor(exporter))
    return provider.get_tracer("foxtailsaddle")


def set_up_logging(level: str, instance: str) -> None:
    """Configure the root logger to write JSON lines to standard error.

    :param instance: instance id that is added to each line.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            static_fields={"instance": instance},
        )
    )
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("httpcore").setLevel("WARNING")
    logging.getLogger("hypercorn").setLevel("WARNING")
