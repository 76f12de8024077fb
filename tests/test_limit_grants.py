"""Tests for the grants of requests at endpoints with a limit, without a network.

Load pattern: many instances, of which all or few have work, share the requests a second
that one endpoint takes.
"""

import random

import pytest

from foxtailsaddle.core import EndpointId, GrantSchedules, NamedLimit
from foxtailsaddle.core._ownership import owner_of
from tests.request_windows import allowed_requests, most_in_window

ENDPOINT = EndpointId("e0")
TICK_S = 0.01


def limit(per_s, born_ms=1):
    return NamedLimit(ENDPOINT, born_ms, per_s, 0.0)


def granted_times(schedules, per_s, asked_at, max_wait_s=0.0):
    """Return when the granted ones of several requests are sent."""
    times = []
    for now in asked_at:
        reply = schedules.request(limit(per_s), max_wait_s, now)
        if reply.is_granted:
            times.append(now + reply.wait_s)
    return times


class TestGrantSchedules:
    """One schedule spaces the requests of all instances."""

    @pytest.mark.parametrize("per_s", [0.5, 1, 4, 20, 100])
    def test_a_steady_surplus_gets_what_the_limit_allows(self, per_s):
        asked_at = [number * TICK_S for number in range(2000)]
        times = granted_times(GrantSchedules(), per_s, asked_at)
        assert most_in_window(times) <= allowed_requests(per_s)
        assert len(times) >= 0.9 * per_s * asked_at[-1]

    # Guards against a bucket that is full again after a pause.
    @pytest.mark.parametrize("per_s", [1, 4, 20, 100])
    def test_pauses_let_through_no_more_than_the_window_allows(self, per_s):
        rng = random.Random(1)
        asked_at, now = [], 0.0
        for _ in range(40):
            now += rng.uniform(0.1, 6.0)
            for _ in range(200):
                now += rng.uniform(0.0, 0.01)
                asked_at.append(now)
        times = granted_times(GrantSchedules(), per_s, asked_at, max_wait_s=0.5)
        assert most_in_window(sorted(times)) <= allowed_requests(per_s)

    def test_a_new_schedule_has_nothing_to_make_up_for(self):
        times = granted_times(GrantSchedules(), 100, [5.0] * 50)
        assert not times

    def test_a_request_waits_for_its_turn_if_it_may(self):
        schedules = GrantSchedules()
        assert schedules.request(limit(4), 1.0, 0.0).wait_s == pytest.approx(0.25)
        assert schedules.request(limit(4), 1.0, 0.0).wait_s == pytest.approx(0.5)
        refused = schedules.request(limit(4), 0.1, 0.0)
        assert not refused.is_granted and refused.wait_s == pytest.approx(0.75)

    def test_the_refusal_of_one_takes_no_turn_from_others(self):
        schedules = GrantSchedules()
        schedules.request(limit(4), 1.0, 0.0)
        schedules.request(limit(4), 0.1, 0.0)
        assert schedules.request(limit(4), 1.0, 0.0).wait_s == pytest.approx(0.5)

    def test_a_limit_of_nothing_lets_a_request_through_now_and_then(self):
        asked_at = [number * 0.1 for number in range(300)]
        times = granted_times(GrantSchedules(), 0, asked_at)
        assert 3 <= len(times) <= 4

    def test_another_start_begins_anew(self):
        schedules = GrantSchedules()
        for _ in range(3):
            schedules.request(limit(1), 9.0, 0.0)
        assert schedules.request(limit(1), 0.0, 0.0).wait_s == pytest.approx(4.0)
        later_start = limit(1, born_ms=2)
        assert schedules.request(later_start, 0.0, 0.0).wait_s == pytest.approx(1.0)


class Instances:
    """Instances that ask each other for grants, with views of each other that lag.

    :ivar live: those that run, and since when all others know it.
    """

    def __init__(self, count, rng):
        self.rng = rng
        self.schedules = {f"i{number}": GrantSchedules() for number in range(count)}
        self.views = {name: set(self.schedules) for name in self.schedules}
        self.changes = []

    def tick(self, now):
        """Let the views catch up with the changes that are old enough."""
        for change in [change for change in self.changes if change[0] <= now]:
            self.changes.remove(change)
            _, viewer, name, is_live = change
            if viewer in self.views:
                (self.views[viewer].add if is_live else self.views[viewer].discard)(
                    name
                )

    def stop(self, name, now, is_announced):
        """Stop an instance; the others notice at different times."""
        del self.schedules[name], self.views[name]
        for viewer in self.views:
            lag_s = self.rng.uniform(0.0, 0.02) if is_announced else 3.5
            lag_s += self.rng.uniform(0.0, 0.3) * (not is_announced)
            self.changes.append((now + lag_s, viewer, name, False))

    def start(self, name, now):
        """Start an instance, of which the others hear at different times."""
        self.schedules[name] = GrantSchedules()
        self.views[name] = {name}
        for other in list(self.views):
            self.changes.append((now + self.rng.uniform(0, 0.3), other, name, True))
            self.changes.append((now + self.rng.uniform(0, 0.05), name, other, True))

    def ask(self, name, per_s, now):
        """Return whether an instance gets a grant."""
        granting = owner_of(ENDPOINT, self.views[name])
        if granting not in self.schedules:
            return False  # it doesn't reply
        if owner_of(ENDPOINT, self.views[granting]) != granting:
            return False
        return self.schedules[granting].request(limit(per_s), 0.0, now).is_granted


class TestManyInstances:
    """All instances together keep to a limit while some stop, start and lag behind."""

    # Guards against a limit that is exceeded by the number of instances.
    @pytest.mark.parametrize("count", [3, 10, 79, 300])
    @pytest.mark.parametrize("per_s", [1, 4, 25])
    def test_all_of_them_have_work(self, count, per_s):
        rng = random.Random(count)
        instances = Instances(count, rng)
        times, now, number = [], 0.0, count
        while now < 30:
            now += TICK_S
            instances.tick(now)
            if rng.random() < 0.01 and len(instances.schedules) > 2:
                granting = owner_of(ENDPOINT, instances.schedules)
                stopped = rng.choice([granting, *instances.schedules])
                instances.stop(stopped, now, is_announced=rng.random() < 0.5)
                instances.start(f"i{number}", now)
                number += 1
            names = sorted(instances.schedules)
            asking = rng.sample(names, min(3, len(names)))
            times += [now for name in asking if instances.ask(name, per_s, now)]
        assert most_in_window(times) <= allowed_requests(per_s)

    # Guards against a limit that lies idle because only some instances have work.
    @pytest.mark.parametrize("count", [3, 79])
    def test_one_of_them_has_work(self, count):
        instances = Instances(count, random.Random(1))
        asked_at = [number * TICK_S for number in range(2000)]
        times = [now for now in asked_at if instances.ask("i0", 1, now)]
        assert len(times) >= 0.9 * asked_at[-1]
