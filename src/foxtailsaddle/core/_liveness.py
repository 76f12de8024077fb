"""Decides from liveness reports which endpoints may get requests.

Reports about an endpoint come from the settings, the platform's lagging list, the
endpoint itself and the peers. One report of "leaving" overrides all reports of
"live" for the same incarnation, and reports that are too old do not count.
"""

import dataclasses

from ._ids import EndpointId


@dataclasses.dataclass(slots=True)
class _Report:
    """The merged reports about one endpoint.

    :ivar heard_at: time of the latest report by the endpoint itself.
    :ivar failed_at: time of the latest failure that was observed.
    """

    incarnation: str = ""
    heard_at: float = float("-inf")
    leaving: bool = False
    failed_at: float = float("-inf")


class Liveness:
    """The latest reports about each endpoint, by id.

    :param max_age_s: age in seconds from which a "live" no longer counts.
    """

    def __init__(self, max_age_s: float) -> None:
        self._max_age_s = max_age_s
        self._report_by_id: dict[EndpointId, _Report] = {}

    def record_report(
        self, endpoint: EndpointId, incarnation: str, leaving: bool, at: float
    ) -> None:
        """Record a report by the endpoint, received directly or through a peer.

        :param at: time at which the endpoint made it, on this instance's clock.
        """
        report = self._report(endpoint)
        if incarnation != report.incarnation:
            if at <= report.heard_at:
                return
            report.incarnation = incarnation
            report.leaving = False
            report.failed_at = float("-inf")
        report.leaving = report.leaving or leaving
        report.heard_at = max(report.heard_at, at)

    def listed_leaving(self, endpoint: EndpointId, incarnation: str) -> None:
        """Record that the platform's list shows the endpoint as leaving."""
        report = self._report(endpoint)
        if report.incarnation in ("", incarnation):
            report.incarnation = incarnation
            report.leaving = True

    def failed(self, endpoint: EndpointId, now: float) -> None:
        """Keep requests away from an endpoint until it reports again.

        A dead endpoint has no backlog, so it would otherwise be preferred.
        """
        self._report(endpoint).failed_at = now

    def may_get_work(self, endpoint: EndpointId, now: float) -> bool:
        """Return whether the endpoint is known to be live and not leaving."""
        report = self._report_by_id.get(endpoint)
        if report is None or report.leaving or report.heard_at <= report.failed_at:
            return False
        return now - report.heard_at <= self._max_age_s

    def incarnation(self, endpoint: EndpointId) -> str:
        """Return the latest known incarnation, or an empty string."""
        report = self._report_by_id.get(endpoint)
        return report.incarnation if report else ""

    def recent_reports(self, now: float) -> list[tuple[EndpointId, str, bool, float]]:
        """Return (endpoint, incarnation, leaving, age in seconds) for the peers."""
        return [
            (endpoint, report.incarnation, report.leaving, now - report.heard_at)
            for endpoint, report in self._report_by_id.items()
            if now - report.heard_at <= self._max_age_s
        ]

    def _report(self, endpoint: EndpointId) -> _Report:
        return self._report_by_id.setdefault(endpoint, _Report())
