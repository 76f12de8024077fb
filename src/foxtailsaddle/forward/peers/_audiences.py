"""Which instances are told of a job at an engine of a large service."""

from ...core import CellSet, JobId
from .._fleet import FleetState
from ._messages import JobBegan, JobEnded, JobPlaced, Update
from ._peer import Peer


class JobAudiences:
    """The cells whose instances were told of each job of this instance."""

    def __init__(self, fleet: FleetState) -> None:
        self._fleet = fleet
        self._cells_by_job: dict[JobId, CellSet] = {}

    def __len__(self) -> int:
        return len(self._cells_by_job)

    def includes(self, peer: Peer, job: JobId) -> bool:
        """Return whether a peer is to be told of a job that was placed."""
        cells = self._cells_by_job.get(job)
        return cells is None or shares_engines(peer, cells)

    def cells_of(self, update: Update) -> CellSet | None:
        """Return the cells that an update on a job concerns; ``None`` for all."""
        match update:
            case JobPlaced():
                cells = self._fleet.cells_of_job(update.job)
                if cells is not None:
                    self._cells_by_job[update.job.id] = cells
                return cells
            case JobBegan():
                return self._cells_by_job.get(update.job)
            case JobEnded():
                return self._cells_by_job.pop(update.job, None)
            case _:
                return None


def shares_engines(peer: Peer, cells: CellSet) -> bool:
    """Return whether a peer may use the engines of some cells.

    Instances of an earlier build use all engines.
    """
    return not peer.bounds_cold_starts or cells.includes(peer.id)
