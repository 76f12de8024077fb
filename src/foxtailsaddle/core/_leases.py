"""Leases on endpoints, with monotonically increasing fencing numbers."""

import dataclasses
import typing as t

from ._eras import next_number
from ._ids import InstanceId


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """The exclusive right to send orders to one endpoint until a deadline.

    :param incarnation: run of the instance that holds it.
    :param number: fencing number; increases with each change of holder.
    :param until_ms: wall-clock time of expiry, in milliseconds.
    """

    holder: InstanceId
    incarnation: str
    number: int
    until_ms: int

    def to_row(self) -> dict[str, t.Any]:
        """Return the lease as the value of a store row."""
        return dataclasses.asdict(self)

    def is_held_by(self, holder: InstanceId, incarnation: str) -> bool:
        """Return whether this run of the instance holds the lease."""
        return (self.holder, self.incarnation) == (holder, incarnation)

    def may_send(self, now_ms: int, send_bound_ms: int) -> bool:
        """Return whether an order sent now arrives before the lease expires.

        A holder whose process was paused detects the expiry here. A pause
        between this check and the send itself can't be detected: see the page on
        what can't be guaranteed.

        :param send_bound_ms: longest time that an order is under way.
        """
        return now_ms + send_bound_ms <= self.until_ms


def next_lease(
    lease: Lease | None,
    holder: InstanceId,
    incarnation: str,
    now_ms: int,
    term_ms: int,
    skew_ms: int,
    era: int = 0,
) -> Lease | None:
    """Return the acquired or renewed lease, or ``None`` if another run holds it.

    :param lease: the stored lease, if there is one.
    :param term_ms: time for which the new lease is valid.
    :param skew_ms: largest difference between the clocks of two instances.
    :param era: the platform's era; a lease that is renewed in a new one gets a new
        number, since the stored number may be older than the last assigned one.
    """
    current = lease.number if lease is not None else 0
    new_number = next_number(current, era)
    until_ms = now_ms + term_ms
    if lease is None:
        return Lease(holder, incarnation, new_number, until_ms)
    if lease.is_held_by(holder, incarnation):
        is_of_era = new_number == current + 1
        number = current if is_of_era else new_number
        return dataclasses.replace(lease, number=number, until_ms=until_ms)
    if now_ms <= lease.until_ms + skew_ms:
        return None
    return Lease(holder, incarnation, new_number, until_ms)
