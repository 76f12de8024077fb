"""Encodes and decodes the datagrams between instances with Cap'n Proto."""

import typing as t

import capnp

from ..._input_readers import read_finite, reading
from ...core import (
    AccountHash,
    AttemptOutcome,
    CrashId,
    EndpointDeath,
    EndpointId,
    GrantReply,
    InstanceId,
    Job,
    JobId,
    MissedUpdates,
    PromptPartId,
    RefusedPart,
    StatePart,
    StoreVersion,
)
from ...ports import StoredRow
from ._headers import (
    SCHEMA,
    decode_header,
    encode_header,
    read_evacuated,
    write_evacuated,
)
from ._messages import (
    ConfigurationChanged,
    DatagramHeader,
    EndpointDied,
    GrantReplied,
    GrantRequested,
    JobBegan,
    JobEnded,
    JobPlaced,
    LimitNamed,
    ListChanged,
    PartRefused,
    PartsCleared,
    PartTrialClaimed,
    SlowdownChanged,
    Snapshot,
    Update,
    UpdatesMissed,
)

HEADER_LENGTH_BYTES = 2


def encode(header: DatagramHeader, updates: t.Sequence[Update]) -> bytes:
    """Return the bytes of a datagram."""
    packed_header = encode_header(header)
    length = len(packed_header).to_bytes(HEADER_LENGTH_BYTES, "big")
    if not updates:
        return length + packed_header
    builder = SCHEMA.Body.new_message()
    items = builder.init("notes", len(updates))
    for index, update in enumerate(updates):
        _WRITER_BY_TYPE[type(update)](items[index], update)
    return length + packed_header + builder.to_bytes_packed()


def decode(data: bytes) -> tuple[DatagramHeader, list[Update]]:
    """Decode a datagram.

    :raises UnreadableInputError: the bytes are not a valid datagram.
    """
    header_end = HEADER_LENGTH_BYTES + int.from_bytes(data[:HEADER_LENGTH_BYTES], "big")
    with reading("datagram"):
        header = decode_header(data[HEADER_LENGTH_BYTES:header_end])
        packed_body = data[header_end:]
        if not packed_body:
            return header, []
        body = SCHEMA.Body.from_bytes_packed(packed_body)
        updates = [_decode_update(header.sender, item) for item in body.notes]
        return header, [update for update in updates if update is not None]


def _decode_update(sender: InstanceId, item: t.Any) -> Update | None:
    """Return an update; ``None`` for one of a kind that only a later build knows."""
    try:
        kind = str(item.which())
    except capnp.KjException:
        return None
    return _READER_BY_FIELD[kind](sender, item)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the bytes of a snapshot."""
    builder = SCHEMA.Snapshot.new_message()
    builder.configurationRow = snapshot.configuration_row
    builder.listVersion = snapshot.list_version.number
    builder.listEra = snapshot.list_version.era
    items = builder.init("endpoints", len(snapshot.endpoint_rows))
    for index, (key, value) in enumerate(snapshot.endpoint_rows.items()):
        items[index].key = key
        items[index].value = value
    write_evacuated(builder, snapshot.evacuated)
    return builder.to_bytes_packed()


def decode_snapshot(data: bytes) -> Snapshot:
    """Decode a snapshot.

    :raises UnreadableInputError: the bytes are not a valid snapshot.
    """
    with reading("snapshot"):
        reader = SCHEMA.Snapshot.from_bytes_packed(data)
        endpoint_rows = {item.key: bytes(item.value) for item in reader.endpoints}
        list_version = StoreVersion(reader.listEra, reader.listVersion)
        return Snapshot(
            bytes(reader.configurationRow),
            endpoint_rows,
            list_version,
            read_evacuated(reader),
        )


def _write_placed(item: t.Any, update: JobPlaced) -> None:
    job = update.job
    builder = item.init("placed")
    builder.job = job.id
    builder.endpoint = job.endpoint
    builder.helpers = list(job.helpers)
    builder.promptTokens = job.prompt_tokens
    builder.outputTokens = job.output_tokens
    builder.partMs = job.part_ms
    builder.gapMs = job.gap_ms
    builder.weight = job.weight
    builder.writingMs = update.decode_ms
    builder.yields = job.deprioritized
    builder.targetMs = job.first_event_target_ms
    builder.account = job.account
    builder.lessUrgent = job.is_less_urgent
    held = builder.init("held", len(job.reserved_by_endpoint))
    for index, (endpoint, tokens) in enumerate(job.reserved_by_endpoint.items()):
        held[index].endpoint = endpoint
        held[index].tokens = tokens


def _read_placed(sender: InstanceId, item: t.Any) -> JobPlaced:
    reader = item.placed
    job = Job(
        id=JobId(reader.job),
        origin=sender,
        endpoint=EndpointId(reader.endpoint),
        helpers=tuple(EndpointId(helper) for helper in reader.helpers),
        prompt_tokens=reader.promptTokens,
        output_tokens=reader.outputTokens,
        part_ms=read_finite(reader.partMs),
        gap_ms=read_finite(reader.gapMs),
        weight=read_finite(reader.weight),
        reserved_by_endpoint={
            EndpointId(held.endpoint): held.tokens for held in reader.held
        },
        deprioritized=reader.yields,
        first_event_target_ms=reader.targetMs,
        account=AccountHash(reader.account),
        is_less_urgent=reader.lessUrgent,
    )
    return JobPlaced(job, read_finite(reader.writingMs))


def _write_began(item: t.Any, update: JobBegan) -> None:
    item.began = update.job


def _read_began(_: InstanceId, item: t.Any) -> JobBegan:
    return JobBegan(JobId(item.began))


def _write_ended(item: t.Any, update: JobEnded) -> None:
    builder = item.init("ended")
    builder.job = update.job
    builder.endpoint = update.endpoint
    builder.outcome = update.outcome.value


def _read_ended(_: InstanceId, item: t.Any) -> JobEnded:
    reader = item.ended
    outcome = AttemptOutcome(reader.outcome)
    return JobEnded(JobId(reader.job), EndpointId(reader.endpoint), outcome)


def _write_slowdown_changed(item: t.Any, update: SlowdownChanged) -> None:
    builder = item.init("pace")
    builder.endpoint = update.endpoint
    builder.pace = update.slowdown


def _read_slowdown_changed(_: InstanceId, item: t.Any) -> SlowdownChanged:
    return SlowdownChanged(EndpointId(item.pace.endpoint), read_finite(item.pace.pace))


def _write_died(item: t.Any, update: EndpointDied) -> None:
    death = update.death
    builder = item.init("death")
    builder.fingerprint = death.fingerprint
    builder.death = death.crash.endpoint
    builder.start = death.crash.start
    builder.parts = list(death.suspects)
    builder.ageS = death.age_s


def _read_died(_: InstanceId, item: t.Any) -> EndpointDied:
    reader = item.death
    crash = CrashId(EndpointId(reader.death), reader.start)
    suspects = _read_parts(reader.parts)
    return EndpointDied(EndpointDeath(reader.fingerprint, crash, suspects, reader.ageS))


def _write_part_refused(item: t.Any, update: PartRefused) -> None:
    builder = item.init("refusedPart")
    builder.part = update.refused.part
    builder.remainingS = update.refused.remaining_s
    builder.termS = update.refused.term_s


def _read_part_refused(_: InstanceId, item: t.Any) -> PartRefused:
    reader = item.refusedPart
    part = PromptPartId(reader.part)
    return PartRefused(RefusedPart(part, reader.remainingS, reader.termS))


def _write_parts_cleared(item: t.Any, update: PartsCleared) -> None:
    builder = item.init("clearedParts")
    builder.parts = list(update.parts)
    builder.ageS = update.age_s
    builder.fingerprint = update.fingerprint


def _read_parts_cleared(_: InstanceId, item: t.Any) -> PartsCleared:
    reader = item.clearedParts
    return PartsCleared(_read_parts(reader.parts), reader.ageS, reader.fingerprint)


def _write_part_trial(item: t.Any, update: PartTrialClaimed) -> None:
    builder = item.init("partTrial")
    builder.parts = list(update.parts)
    builder.forS = update.for_s


def _read_part_trial(_: InstanceId, item: t.Any) -> PartTrialClaimed:
    reader = item.partTrial
    return PartTrialClaimed(_read_parts(reader.parts), reader.forS)


def _write_limit(builder: t.Any, limit: LimitNamed) -> None:
    builder.endpoint = limit.endpoint
    builder.start = limit.start
    builder.perS = limit.per_s
    builder.ageS = limit.age_s
    builder.coldS = limit.cold_s


def _read_limit(reader: t.Any) -> LimitNamed:
    endpoint = EndpointId(reader.endpoint)
    return LimitNamed(endpoint, reader.start, reader.perS, reader.ageS, reader.coldS)


def _write_limit_named(item: t.Any, update: LimitNamed) -> None:
    _write_limit(item.init("limit"), update)


def _read_limit_named(_: InstanceId, item: t.Any) -> LimitNamed:
    return _read_limit(item.limit)


def _write_grant_requested(item: t.Any, update: GrantRequested) -> None:
    builder = item.init("grantRequest")
    builder.number = update.number
    _write_limit(builder.init("limit"), update.limit)
    builder.maxWaitS = update.max_wait_s
    builder.passedOver = update.passed_over


def _read_grant_requested(_: InstanceId, item: t.Any) -> GrantRequested:
    reader = item.grantRequest
    limit = _read_limit(reader.limit)
    passed_over = InstanceId(reader.passedOver)
    return GrantRequested(reader.number, limit, reader.maxWaitS, passed_over)


def _write_grant_replied(item: t.Any, update: GrantReplied) -> None:
    builder = item.init("grantReply")
    builder.number = update.number
    builder.granted = update.reply.is_granted
    builder.waitS = update.reply.wait_s


def _read_grant_replied(_: InstanceId, item: t.Any) -> GrantReplied:
    reader = item.grantReply
    return GrantReplied(reader.number, GrantReply(reader.granted, reader.waitS))


def _read_parts(reader: t.Any) -> tuple[PromptPartId, ...]:
    return tuple(PromptPartId(part) for part in reader)


def _write_listed(item: t.Any, update: ListChanged) -> None:
    builder = item.init("listed")
    builder.era = update.row.version.era
    builder.after = update.after.number
    builder.version = update.row.version.number
    builder.key = update.row.key
    builder.value = update.row.value
    builder.removed = update.row.removed
    builder.count = update.count


def _read_listed(_: InstanceId, item: t.Any) -> ListChanged:
    reader = item.listed
    version = StoreVersion(reader.era, reader.version)
    row = StoredRow(reader.key, bytes(reader.value), version, reader.removed)
    after = StoreVersion(reader.era, reader.after)
    return ListChanged(after, row, reader.count)


def _write_configuration(item: t.Any, update: ConfigurationChanged) -> None:
    builder = item.init("configuration")
    builder.row = update.row
    builder.forwardTo = list(update.forward_to)


def _read_configuration(_: InstanceId, item: t.Any) -> ConfigurationChanged:
    reader = item.configuration
    forward_to = tuple(InstanceId(instance) for instance in reader.forwardTo)
    return ConfigurationChanged(bytes(reader.row), forward_to)


def _write_missed(item: t.Any, update: UpdatesMissed) -> None:
    builder = item.init("missed")
    builder.first = update.missed.first
    builder.last = update.missed.last


def _read_missed(_: InstanceId, item: t.Any) -> UpdatesMissed:
    return UpdatesMissed(MissedUpdates(item.missed.first, item.missed.last))


def _write_state_part(item: t.Any, part: StatePart) -> None:
    builder = item.init("statePart")
    builder.number = part.number
    builder.index = part.index
    builder.count = part.count


def _read_state_part(_: InstanceId, item: t.Any) -> StatePart:
    reader = item.statePart
    return StatePart(reader.number, reader.index, reader.count)


_WRITER_BY_TYPE: dict[type, t.Callable[[t.Any, t.Any], None]] = {
    JobPlaced: _write_placed,
    JobBegan: _write_began,
    JobEnded: _write_ended,
    SlowdownChanged: _write_slowdown_changed,
    EndpointDied: _write_died,
    ListChanged: _write_listed,
    PartRefused: _write_part_refused,
    PartsCleared: _write_parts_cleared,
    PartTrialClaimed: _write_part_trial,
    LimitNamed: _write_limit_named,
    GrantRequested: _write_grant_requested,
    GrantReplied: _write_grant_replied,
    ConfigurationChanged: _write_configuration,
    UpdatesMissed: _write_missed,
    StatePart: _write_state_part,
}
_READER_BY_FIELD: dict[str, t.Callable[[InstanceId, t.Any], Update]] = {
    "placed": _read_placed,
    "began": _read_began,
    "ended": _read_ended,
    "pace": _read_slowdown_changed,
    "death": _read_died,
    "listed": _read_listed,
    "refusedPart": _read_part_refused,
    "clearedParts": _read_parts_cleared,
    "partTrial": _read_part_trial,
    "limit": _read_limit_named,
    "grantRequest": _read_grant_requested,
    "grantReply": _read_grant_replied,
    "configuration": _read_configuration,
    "missed": _read_missed,
    "statePart": _read_state_part,
}
