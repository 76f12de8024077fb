"""Leases on endpoints, with a fencing number that only grows."""

import dataclasses
import typing as t

from ._ids import InstanceId


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """The right to give orders to one endpoint for a time.

    :param number: fencing number; grows with each change of holder.
    :param until_ms: wall-clock time at which it lapses.
    """

    holder: InstanceId
    incarnation: str
    number: int
    until_ms: int

    def to_row(self) -> dict[str, t.Any]:
        """Return the lease as a row value."""
        return dataclasses.asdict(self)

    def is_held_by(self, holder: InstanceId, incarnation: str) -> bool:
        """Return whether this very run of an instance holds it."""
        return (self.holder, self.incarnation) == (holder, incarnation)

    def may_send(self, now_ms: int, send_bound_ms: int) -> bool:
        """Return whether an order sent now arrives before the lease lapses.

        A holder that was paused finds out here, except between this check and
        the send itself: see the page on what can't be guaranteed.
        """
        return now_ms + send_bound_ms <= self.until_ms


def next_lease(
    lease: Lease | None,
    holder: InstanceId,
    incarnation: str,
    now_ms: int,
    term_ms: int,
    skew_ms: int,
) -> Lease | None:
    """Return the lease to write, or ``None`` while another holds it.

    :param skew_ms: by how much the instances' clocks may differ.
    """
    until_ms = now_ms + term_ms
    if lease is None:
        return Lease(holder, incarnation, 1, until_ms)
    if lease.is_held_by(holder, incarnation):
        return dataclasses.replace(lease, until_ms=until_ms)
    if now_ms <= lease.until_ms + skew_ms:
        return None
    return Lease(holder, incarnation, lease.number + 1, until_ms)
