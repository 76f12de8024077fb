"""What must hold of a soak's history, from callers' and runners' view alone."""

import collections
import typing as t

from .callers import DEADLINE_S, STREAM_EVENTS, Asked

PROMISED_NOT_RUN = (503, 429, 408, 421)
LATE_SLACK_S = 0.6


def broken_promises(
    history: list[Asked],
    books: t.Mapping[str, t.Mapping[str, list[str]]],
    excused: t.Callable[[Asked], bool],
) -> list[str]:
    """Return a sentence for each promise that was broken.

    :param books: what reached each runner, by name.
    :param excused: whether the caller's instance was paused, killed or cut off
        during the request, so that no answer is owed in time.
    """
    ran: collections.Counter[str] = collections.Counter()
    for book in books.values():
        ran.update(book["runs"])
    found: list[str] = []
    for asked in history:
        found += _of_one(asked, ran, excused(asked))
    found += [
        f"runner {name} still holds memory: {book['tickets']}"
        for name, book in books.items()
        if book["tickets"]
    ]
    known = {asked.id for asked in history}
    found += [f"{id} ran, and nobody asked for it" for id in ran if id not in known]
    return found


def _of_one(asked: Asked, ran: t.Mapping[str, int], is_excused: bool) -> list[str]:
    found = []
    what = f"{asked.id} {asked.path} at {asked.instance}"
    if asked.path.startswith("/unsafe") and ran[asked.id] > 1:
        found.append(f"{what} ran {ran[asked.id]} times")
    was_promised = asked.status in PROMISED_NOT_RUN
    if was_promised and asked.path.startswith("/unsafe") and ran[asked.id]:
        found.append(f"{what} was said not to have run ({asked.status})")
    if asked.status and asked.answer_id != asked.id:
        found.append(f'{what} got the answer of "{asked.answer_id}"')
    if asked.is_whole and asked.status == 200:
        found += _of_whole(asked, what)
    if not is_excused and asked.took_s > DEADLINE_S + LATE_SLACK_S:
        found.append(f"{what} had no answer after {asked.took_s:.2f} s")
    return found


def _of_whole(asked: Asked, what: str) -> list[str]:
    if not asked.path.startswith("/stream"):
        return [] if asked.body.endswith(b"}") else [f"{what} got a part of a body"]
    if asked.event_ids != list(range(1, STREAM_EVENTS + 1)):
        return [f"{what} got the events {asked.event_ids}"]
    return []
