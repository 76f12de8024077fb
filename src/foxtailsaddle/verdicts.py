"""The verdict on a request: whether an endpoint may have run it."""

from enum import Enum


class Verdict(Enum):
    """Whether a request may have run at an endpoint.

    ``NOT_RUN`` requires proof: no byte of the request was written, or the endpoint
    itself refused it.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"
