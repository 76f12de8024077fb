"""Limits the number of engines that are considered for one placement.

Load pattern: hundreds of engines and instances. To price all engines for each
prompt would cost an instance more processor time than forwarding does. Each
instance has an order of preference among the engines. It considers the first of
them each time, so that short prompts still gather on few engines, and the others
in rotation, so that no engine is left out.
"""

import typing as t

T = t.TypeVar("T")

PREFERRED_SHARE = 0.75  # share of a sample that is taken from the most preferred items


class Sampling:
    """Takes samples of ordered items, partly the same and partly in rotation."""

    def __init__(self) -> None:
        self._offset = 0

    def sample(self, ordered: t.Sequence[T], count: int) -> t.Sequence[T]:
        """Return at most ``count`` items.

        :param ordered: all items, in the instance's order of preference.
        """
        if len(ordered) <= count:
            return ordered
        preferred = int(PREFERRED_SHARE * count)
        others = ordered[preferred:]
        start = self._offset % len(others)
        self._offset += count - preferred
        wrapped = [*others[start:], *others[:start]] if start else others
        return [*ordered[:preferred], *wrapped[: count - preferred]]
