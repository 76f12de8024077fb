"""The record of a case: what was sent, answered and run."""

import json
import pathlib
import time
import typing as t


class Record:
    """Writes one line of JSON for each event.

    :ivar began_at: time of the first line, in seconds of the steady clock.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._file = path.open("w", encoding="utf-8")
        self.began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the record began."""
        return round(time.monotonic() - self.began_at, 3)

    def write(self, event: str, **fields: t.Any) -> None:
        """Write one event."""
        line = {"at": self.now(), "event": event} | fields
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()

    def events(self) -> list[dict[str, t.Any]]:
        """Return all events so far."""
        lines = self._path.read_text(encoding="utf-8").splitlines()
        return [json.loads(line) for line in lines]
