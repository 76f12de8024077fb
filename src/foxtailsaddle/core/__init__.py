"""Decisions of the serving layer: no I/O, no clock, no randomness of its own."""

from ..verdicts import Verdict
from ._crashes import CrashGuard
from ._groups import Candidate, Share, group_capacity, plan_group
from ._ids import (
    AccountId,
    AttemptId,
    DataCentre,
    EndpointId,
    InstanceId,
    ServiceId,
)
from ._leases import Lease, next_lease
from ._ledger import Entry, EntryState, Finding, Outcome, closing, find
from ._lengths import length_class
from ._limits import (
    Allowance,
    Bucket,
    FairShare,
    Grant,
    HomeLimits,
    RecentRate,
)
from ._liveness import Liveness
from ._members import Member, Members, MemberState, Pulse
from ._ownership import owner_of
from ._prefixes import CacheEvent, PrefixIndex, Probe, probes_of, short_digest
from ._reaping import orphans
from ._retries import RetryBudget, may_retry
from ._revisions import Revision, RevisionLog, patched, read_tree
from ._routing import Book, Placement, Quote, best, rank_of
from ._settings import (
    Account,
    Endpoint,
    InstanceSettings,
    Listen,
    OrderCheck,
    Policy,
    Service,
    ServiceKind,
    SettingsFile,
    Tree,
    read_model,
)

__all__ = [
    "Account",
    "AccountId",
    "Allowance",
    "AttemptId",
    "Book",
    "Bucket",
    "CacheEvent",
    "Candidate",
    "CrashGuard",
    "DataCentre",
    "Endpoint",
    "EndpointId",
    "Entry",
    "EntryState",
    "FairShare",
    "Finding",
    "Grant",
    "HomeLimits",
    "InstanceId",
    "InstanceSettings",
    "Lease",
    "Listen",
    "Liveness",
    "Member",
    "MemberState",
    "Members",
    "OrderCheck",
    "Outcome",
    "Placement",
    "Policy",
    "PrefixIndex",
    "Probe",
    "Pulse",
    "Quote",
    "RecentRate",
    "RetryBudget",
    "Revision",
    "RevisionLog",
    "Service",
    "ServiceId",
    "ServiceKind",
    "SettingsFile",
    "Share",
    "Tree",
    "Verdict",
    "best",
    "closing",
    "find",
    "group_capacity",
    "length_class",
    "may_retry",
    "next_lease",
    "orphans",
    "owner_of",
    "patched",
    "plan_group",
    "probes_of",
    "rank_of",
    "read_model",
    "read_tree",
    "short_digest",
]
