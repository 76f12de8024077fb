"""Numbers that stay unique although the platform may be restored from a backup."""

FIRST_ERA = 1  # of a platform that was never restored
NUMBERS_PER_ERA = 1_000_000


def next_number(current: int, era: int) -> int:
    """Return the number after ``current``, above all that earlier eras have assigned.

    :param current: highest number that the platform shows; a restore may have taken
        back later ones.
    :param era: the platform's present era; 0 if it does not name one.
    """
    era_base = max(0, era - FIRST_ERA) * NUMBERS_PER_ERA
    return max(current, era_base) + 1
