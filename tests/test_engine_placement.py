"""Placement of prompts: each test names the load pattern that it answers."""

from foxtailsaddle.core import EndpointId, place_stream
from tests.engines import HOME, SPEC, TIME, engine, long_prompt, short_prompt


def place(demand, candidates):
    return place_stream(demand, candidates, TIME, HOME)


class TestShortPrompts:
    """A burst of shorts, with longs among them."""

    def test_gather_where_shorts_are_written(self):
        plan = place(short_prompt(), [engine("empty"), engine("busy", shorts=3)])
        assert plan.endpoint == "busy"

    def test_do_not_wait_behind_a_long_read(self):
        reading = engine("reading", shorts=3, read_ms=900.0)
        plan = place(short_prompt(), [reading, engine("empty")])
        assert plan.endpoint == "empty"

    def test_leave_a_full_engine(self):
        full = engine("full", shorts=SPEC.slots)
        plan = place(short_prompt(), [full, engine("empty")])
        assert plan.endpoint == "empty"

    def test_have_no_helpers(self):
        plan = place(short_prompt(), [engine(str(n)) for n in range(10)])
        assert plan.helpers == ()

    def test_prefer_their_own_data_centre(self):
        far = engine("a", dc="elsewhere")
        plan = place(short_prompt(), [far, engine("b")])
        assert plan.endpoint == "b"

    def test_avoid_an_engine_that_fails_half_its_requests(self):
        grey = engine("grey", shorts=3, failure_share=0.5)
        plan = place(short_prompt(), [grey, engine("empty")])
        assert plan.endpoint == "empty"

    def test_avoid_an_engine_that_turned_slow(self):
        slow = engine("slow", shorts=3, pace=5.0)
        plan = place(short_prompt(), [slow, engine("empty")])
        assert plan.endpoint == "empty"


class TestLongPrompts:
    """Long prompts while shorts are written."""

    def test_are_read_in_parts(self):
        plan = place(long_prompt(), [engine(str(n)) for n in range(14)])
        assert len(plan.helpers) >= 7
        assert plan.first_event_ms < 600

    def test_keep_away_from_shorts(self):
        busy = [engine(f"busy{n}", shorts=5) for n in range(6)]
        free = [engine(f"free{n}") for n in range(8)]
        plan = place(long_prompt(), busy + free)
        assert not {plan.endpoint, *plan.helpers} & {e.id for e in busy}

    def test_of_two_the_second_goes_where_memory_is(self):
        holder = engine("holder", longs=1)
        plan = place(long_prompt(), [holder, engine("empty")])
        assert plan.endpoint == "empty"

    def test_a_part_is_never_larger_than_shorts_beside_it_bear(self):
        engines = [engine(str(n), shorts=2) for n in range(14)]
        plan = place(long_prompt(), engines)
        pass_ms = TIME.pass_ms(3, 10_000)
        assert plan.part_ms + pass_ms < 250

    def test_have_no_slow_helper(self):
        """A third of the engines turns slow: a part there holds up the whole."""
        slow = [engine(f"slow{n}", pace=3.2) for n in range(5)]
        plan = place(long_prompt(), slow + [engine(str(n)) for n in range(9)])
        assert not {plan.endpoint, *plan.helpers} & {e.id for e in slow}

    def test_prefer_helpers_that_are_not_doubted(self):
        doubted = [engine(f"doubted{n}", doubt=0.3) for n in range(4)]
        plan = place(long_prompt(), doubted + [engine(str(n)) for n in range(10)])
        assert not set(plan.helpers) & {e.id for e in doubted}

    def test_no_engine_is_no_plan(self):
        assert place(long_prompt(), []) is None


class TestPromptsLargerThanAnEngine:
    """Prompts past one engine's memory."""

    def test_set_memory_aside_at_helpers(self):
        plan = place(long_prompt(500_000), [engine(str(n)) for n in range(14)])
        held = sum(plan.held_by_endpoint.values())
        assert 500_700 - held <= SPEC.kv_tokens
        assert set(plan.held_by_endpoint) <= set(plan.helpers)

    def test_never_hold_more_than_a_helper_has(self):
        engines = [engine(str(n), kv=100_000) for n in range(14)]
        plan = place(long_prompt(500_000), engines)
        assert max(plan.held_by_endpoint.values()) <= 132_000

    def test_do_not_ask_a_helper_that_refused(self):
        engines = [engine(str(n)) for n in range(13)]
        refused = engine("refused", may_hold=False)
        plan = place(long_prompt(500_000), [*engines, refused])
        assert EndpointId("refused") not in plan.held_by_endpoint

    def test_without_room_anywhere_is_no_plan(self):
        engines = [engine(str(n), kv=225_000) for n in range(3)]
        assert place(long_prompt(500_000), engines) is None
