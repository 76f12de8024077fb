"""Prometheus metrics of the forwarding path."""

from aioprometheus import Counter, Gauge, Histogram, Registry, render

BUCKETS_S = [0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 3.0, 5.0, 10.0, 15.0]


class ForwardMetrics:
    """Metrics of one instance."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._requests = Counter(
            "requests_total", "Requests by outcome and status.", registry=self._registry
        )
        self._duration = Histogram(
            "request_seconds",
            "Time to the end of a request.",
            buckets=BUCKETS_S,
            registry=self._registry,
        )
        self._gauge = Gauge("state", "Beliefs, by name.", registry=self._registry)

    def record_request(self, outcome: str, status: int, duration_s: float) -> None:
        """Count a request that has ended."""
        self._requests.inc({"outcome": outcome, "status": str(status)})
        self._duration.add({"outcome": outcome}, duration_s)

    def set(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauge.set({"name": name}, value)

    def render(self) -> tuple[bytes, bytes]:
        """Return the metrics page and its content type."""
        body, headers = render(self._registry, ["text/plain"])
        return body, headers["Content-Type"].encode()
