"""What it costs that a request leaves the data centre of its instance.

Load pattern: demand that fills one data centre before the others, or a data centre with
too few endpoints. A request leaves as soon as that costs all callers less than staying,
so that only the part leaves for which there is no room at home.
"""

import dataclasses
import enum
import typing as t

from ._ids import DataCentre

CONSTANT_STREAM_COST = 0.002
CONSTANT_CALLS = 0.1
BYTES_PER_PROMPT_TOKEN = 4
BYTES_PER_OUTPUT_TOKEN = 40  # each is sent as an event
# In values of a short answer. It keeps short prompts at home until about four fifths
# of the slots there are taken, and doesn't grow with the prompt: large ones need the
# engines of several data centres.
LEAVING_COST = 0.05
PRICE_PER_MB = 0.05  # in values of a short answer
# Less than one call, so that an idle endpoint is used before another call has to wait.
CALLS_PER_DISTANCE = 0.6
MAX_DELAY_AGE_S = 30.0
DELAY_SMOOTHING = 0.2  # weight of the latest connection
ROUND_TRIPS = 2  # until the first event, one of them for the connection


class LeaveReason(enum.Enum):
    """Why a request goes to another data centre."""

    NO_ENDPOINT = "no_endpoint"
    FULL = "full"
    CHEAPER = "cheaper"


class Distance(t.Protocol):
    """What lies between the data centre of an instance and the others.

    :ivar home: the data centre of the instance.
    """

    home: DataCentre

    def stream_cost(
        self, data_centre: DataCentre, prompt_tokens: int, output_tokens: int
    ) -> float:
        """Return the cost of sending a prompt to an engine of a data centre."""

    def part_cost(
        self, main: DataCentre, helper: DataCentre, prompt_tokens: float
    ) -> float:
        """Return the cost of a helper that prefills a part of a prompt."""

    def calls(self, data_centre: DataCentre) -> float:
        """Return how many calls in flight a data centre counts as."""

    def delay_ms(self, data_centre: DataCentre, now: float) -> float:
        """Return by how much a first event from a data centre comes later."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConstantDistance:
    """Any other data centre costs the same, whatever is sent there."""

    home: DataCentre

    def stream_cost(
        self, data_centre: DataCentre, prompt_tokens: int, output_tokens: int
    ) -> float:
        """Return the cost of sending a prompt to an engine of a data centre."""
        return CONSTANT_STREAM_COST * (data_centre != self.home)

    def part_cost(
        self, main: DataCentre, helper: DataCentre, prompt_tokens: float
    ) -> float:
        """Return the cost of a helper: none."""
        return 0.0

    def calls(self, data_centre: DataCentre) -> float:
        """Return how many calls in flight a data centre counts as."""
        return CONSTANT_CALLS * (data_centre != self.home)

    def delay_ms(self, data_centre: DataCentre, now: float) -> float:
        """Return by how much a first event from a data centre comes later: none."""
        return 0.0


@dataclasses.dataclass(slots=True)
class _RoundTrip:
    """How long a connection to a data centre takes; smoothed."""

    ms: float
    seen_at: float


class TrafficDistance:
    """Another data centre costs what is sent there and back, and comes later.

    :ivar home: the data centre of the instance.
    """

    def __init__(self, home: DataCentre) -> None:
        self.home = home
        self._round_trip_by_data_centre: dict[DataCentre, _RoundTrip] = {}

    def stream_cost(
        self, data_centre: DataCentre, prompt_tokens: int, output_tokens: int
    ) -> float:
        """Return the cost of sending a prompt to an engine of a data centre."""
        if data_centre == self.home:
            return 0.0
        sent_bytes = BYTES_PER_PROMPT_TOKEN * prompt_tokens
        received_bytes = BYTES_PER_OUTPUT_TOKEN * output_tokens
        return LEAVING_COST + _traffic_cost(sent_bytes + received_bytes)

    def part_cost(
        self, main: DataCentre, helper: DataCentre, prompt_tokens: float
    ) -> float:
        """Return the cost of a helper that prefills a part of a prompt."""
        if main == helper:
            return 0.0
        return _traffic_cost(BYTES_PER_PROMPT_TOKEN * prompt_tokens)

    def calls(self, data_centre: DataCentre) -> float:
        """Return how many calls in flight a data centre counts as."""
        return CALLS_PER_DISTANCE * (data_centre != self.home)

    def record_connection(
        self, data_centre: DataCentre, taken_s: float, now: float
    ) -> None:
        """Record how long a connection to an endpoint of a data centre took."""
        taken_ms = taken_s * 1000
        known = self._round_trip_by_data_centre.get(data_centre)
        if known is not None and now - known.seen_at <= MAX_DELAY_AGE_S:
            taken_ms = known.ms + DELAY_SMOOTHING * (taken_ms - known.ms)
        self._round_trip_by_data_centre[data_centre] = _RoundTrip(taken_ms, now)

    def delay_ms(self, data_centre: DataCentre, now: float) -> float:
        """Return by how much a first event from a data centre comes later."""
        there = self._round_trip_by_data_centre.get(data_centre)
        home = self._round_trip_by_data_centre.get(self.home)
        if data_centre == self.home or there is None or home is None:
            return 0.0
        if now - min(there.seen_at, home.seen_at) > MAX_DELAY_AGE_S:
            return 0.0
        return ROUND_TRIPS * max(0.0, there.ms - home.ms)


def _traffic_cost(size_bytes: float) -> float:
    return PRICE_PER_MB * size_bytes / 1e6


def leave_reason(
    chosen: DataCentre,
    home: DataCentre,
    has_slot_by_data_centre: t.Iterable[tuple[DataCentre, bool]],
) -> LeaveReason | None:
    """Return why a request leaves its data centre, ``None`` if it stays.

    :param has_slot_by_data_centre: data centre of each candidate, and whether a request
        would get a slot there at once.
    """
    if chosen == home:
        return None
    slots_at_home = [has_slot for at, has_slot in has_slot_by_data_centre if at == home]
    if not slots_at_home:
        return LeaveReason.NO_ENDPOINT
    return LeaveReason.CHEAPER if any(slots_at_home) else LeaveReason.FULL
