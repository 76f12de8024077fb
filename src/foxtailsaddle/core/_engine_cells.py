"""Splits a large service's engines among the instances that place requests on them.

Load pattern: hundreds of instances before thousands of engines. If each instance may
use each engine, each has to hear of every request in the fleet, which costs more than
the requests themselves. Here instances and engines are assigned to cells by their ids.
An instance uses the engines of its cell, and only the instances that share an engine
tell each other of its jobs. Each engine is in two cells, so that a cell that is busier
than others shares its engines with many of them.
"""

import dataclasses
import functools

import xxhash

from ._ids import EndpointId, InstanceId

# An instance chooses from at least twice as many, as each engine is in two cells.
MIN_ENGINES_PER_CELL = 48


@dataclasses.dataclass(frozen=True, slots=True)
class CellSet:
    """Some cells of a service.

    :param count: number of cells into which the service is split.
    """

    count: int
    cells: frozenset[int]

    def includes(self, instance: InstanceId) -> bool:
        """Return whether an instance is in one of the cells."""
        return cell_of_instance(instance, self.count) in self.cells


def cell_count(engines: int) -> int:
    """Return the number of cells of a service, a power of two.

    It changes rarely while engines come and go, so that instances agree on it.

    :param engines: number of engines of the service.
    """
    cells = max(1, engines // MIN_ENGINES_PER_CELL)
    largest_power = 1 << (cells.bit_length() - 1)
    # With two cells, each engine would be in both.
    return largest_power if largest_power > 2 else 1


@functools.lru_cache(maxsize=8192)
def cell_of_instance(instance: InstanceId, cells: int) -> int:
    """Return the cell of an instance."""
    return xxhash.xxh32_intdigest(instance.encode()) % cells


@functools.lru_cache(maxsize=16384)
def cells_of_engine(engine: EndpointId, cells: int) -> frozenset[int]:
    """Return the two cells of an engine, of three or more."""
    digest = xxhash.xxh64_intdigest(engine.encode())
    first = digest % cells
    second = (first + 1 + (digest // cells) % (cells - 1)) % cells
    return frozenset((first, second))
