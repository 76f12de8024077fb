"""Tests for routes and for the retry budget of a service."""

from foxtailsaddle.core import (
    RetryWindow,
    Route,
    RouteKind,
    RouteTable,
    ServiceId,
    Split,
    TrafficLimits,
)

SERVICE = ServiceId("s")


def route(name, prefix, host="h.example", **options):
    fields = {
        "splits": (Split(SERVICE, 1.0),),
        "timeout_s": 1.0,
        "first_event_target_s": 0.1,
    }
    return Route(name, host, prefix, RouteKind.SAFE, **(fields | options))


def table(*routes):
    return RouteTable(1, routes, [], {}, TrafficLimits())


class TestRouteLookup:
    def test_the_longest_prefix_wins(self):
        routes = table(route("short", "/a/"), route("long", "/a/b/"))
        assert routes.find("h.example", "/a/b/c").name == "long"
        assert routes.find("h.example", "/a/bc").name == "short"

    def test_a_prefix_ends_at_a_slash(self):
        assert table(route("r", "/a/")).find("h.example", "/ab") is None
        assert table(route("r", "/a/")).find("h.example", "/a") is None
        assert table(route("r", "/a/")).find("h.example", "/a/") is not None

    def test_the_root_matches_every_other_path(self):
        routes = table(route("root", "/"), route("r", "/a/"))
        assert routes.find("h.example", "/x").name == "root"

    def test_another_host_has_no_route(self):
        assert table(route("r", "/a/")).find("other", "/a/x") is None


class TestTrafficSplit:
    def test_weights_divide_the_traffic(self):
        splits = (Split(ServiceId("x"), 90.0), Split(ServiceId("y"), 10.0))
        divided = route("r", "/", splits=splits)
        assert divided.service_at(0.0) == "x"
        assert divided.service_at(0.89) == "x"
        assert divided.service_at(0.91) == "y"
        assert divided.service_at(0.999999) == "y"

    def test_a_service_with_zero_weight_gets_no_traffic(self):
        splits = (Split(ServiceId("x"), 0.0), Split(ServiceId("y"), 5.0))
        assert route("r", "/", splits=splits).service_at(0.0) == "y"


class TestRetryBudget:
    """The retries of all instances together stay within the service's budget.

    Guards against a flood of retries when many answers are lost at once.
    """

    def test_requests_add_to_the_budget(self):
        window = RetryWindow(0.2, 10.0, 0.0)
        assert not window.take(SERVICE, 0.0, 1)
        for _ in range(100):
            window.record_request(SERVICE, 0.0)
        taken = sum(window.take(SERVICE, 0.1, 1) for _ in range(100))
        assert 10 <= taken <= 20

    def test_the_slack_is_shared_by_all_instances(self):
        taken = 0
        for _ in range(7):
            window = RetryWindow(0.2, 10.0, 100.0)
            taken += sum(window.take(SERVICE, 0.0, 7) for _ in range(100))
        assert taken <= 100

    def test_the_budget_is_restored_after_the_window(self):
        window = RetryWindow(0.2, 10.0, 2.0)
        assert window.take(SERVICE, 0.0, 1)
        assert not window.take(SERVICE, 5.0, 1)
        assert window.take(SERVICE, 10.5, 1)
