"""The verdict on a request: may it have run?"""

from enum import Enum


class Verdict(Enum):
    """Says whether a request may have run at an endpoint.

    ``NOT_RUN`` is used only with proof: no byte of the request was written,
    or the endpoint itself refused it.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"
