"""Encodes and decodes the headers of datagrams, and loads their schema."""

import dataclasses
import functools
import pathlib
import typing as t

import capnp

from ...core import DataCentre, EvacuatedDataCentres, InstanceId, StoreVersion
from ._messages import NOTHING_EVACUATED, DatagramHeader

SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("notes.capnp")))
MAX_HEADER_BYTES = 16_384


# The header of an instance rarely changes, and a large fleet exchanges thousands of
# datagrams a second.
@functools.lru_cache(maxsize=16)
def encode_header(header: DatagramHeader) -> bytes:
    """Return the bytes of a header, which fits into a datagram.

    More data centres than fit are left out; the others know them from the store.
    """
    packed = _pack(header)
    if len(packed) <= MAX_HEADER_BYTES:
        return packed
    return _pack(dataclasses.replace(header, evacuated=NOTHING_EVACUATED))


def _pack(header: DatagramHeader) -> bytes:
    builder = SCHEMA.Header.new_message()
    builder.sender = header.sender
    builder.incarnation = header.incarnation
    builder.control = header.control_address
    builder.configuration = header.configuration_version
    builder.leaving = header.leaving
    builder.reads = header.reads_store
    builder.listVersion = header.list_version.number
    builder.listEra = header.list_version.era
    builder.greeting = header.wants_reply
    builder.cutOff = header.cut_off
    builder.dataCentre = header.data_centre
    builder.coldStarts = header.bounds_cold_starts
    builder.numbers = header.numbers_updates
    builder.lastUpdate = header.last_update
    builder.updateCount = header.update_count
    write_evacuated(builder, header.evacuated)
    return builder.to_bytes_packed()


@functools.lru_cache(maxsize=1024)
def decode_header(packed: bytes) -> DatagramHeader:
    """Return the header in some bytes."""
    reader = SCHEMA.Header.from_bytes_packed(packed)
    return DatagramHeader(
        sender=InstanceId(reader.sender),
        incarnation=reader.incarnation,
        control_address=reader.control,
        configuration_version=reader.configuration,
        leaving=reader.leaving,
        reads_store=reader.reads,
        list_version=StoreVersion(reader.listEra, reader.listVersion),
        wants_reply=reader.greeting,
        cut_off=reader.cutOff,
        data_centre=DataCentre(reader.dataCentre),
        bounds_cold_starts=reader.coldStarts,
        evacuated=read_evacuated(reader),
        numbers_updates=reader.numbers,
        last_update=reader.lastUpdate,
        update_count=reader.updateCount,
    )


def write_evacuated(builder: t.Any, evacuated: EvacuatedDataCentres) -> None:
    """Write the evacuated data centres, unless nothing was ever known of them."""
    if evacuated == NOTHING_EVACUATED:
        return
    item = builder.init("evacuated")
    item.era = evacuated.version.era
    item.version = evacuated.version.number
    item.dataCentres = list(evacuated.data_centres)


def read_evacuated(reader: t.Any) -> EvacuatedDataCentres:
    """Return the evacuated data centres of a header or a snapshot."""
    item = reader.evacuated
    data_centres = tuple(DataCentre(name) for name in item.dataCentres)
    return EvacuatedDataCentres(StoreVersion(item.era, item.version), data_centres)
