"""What daemons decide and do together."""

from ragwortpaddled.coordination._admission import (
    Admission,
    DecayingRate,
    PoolAdmission,
    TeamLimits,
    TokenBucket,
)
from ragwortpaddled.coordination._chain import ChainContext, Work, choose_chain, covers
from ragwortpaddled.coordination._directory import Directory
from ragwortpaddled.coordination._generation import Generator, Job, Token
from ragwortpaddled.coordination._ledger import Ledger, LedgerUnavailableError, ShardWriter
from ragwortpaddled.coordination._membership import Health, Member, Membership, PeerLinks
from ragwortpaddled.coordination._peer_service import PeerService
from ragwortpaddled.coordination._quarantine import Quarantines, content_digest
from ragwortpaddled.coordination._recovery import RecoveryGate, RetryBudget
from ragwortpaddled.coordination._releases import ReleaseFollower
from ragwortpaddled.coordination._services import ServiceRouter, Services, ServiceTarget, check_key
from ragwortpaddled.coordination._stage import StageLink
from ragwortpaddled.coordination._summaries import Fleet, total_demand

__all__ = [
    "Admission",
    "ChainContext",
    "DecayingRate",
    "Directory",
    "Fleet",
    "Generator",
    "Health",
    "Job",
    "Ledger",
    "LedgerUnavailableError",
    "Member",
    "Membership",
    "PeerLinks",
    "PeerService",
    "PoolAdmission",
    "Quarantines",
    "RecoveryGate",
    "ReleaseFollower",
    "RetryBudget",
    "ServiceRouter",
    "ServiceTarget",
    "Services",
    "ShardWriter",
    "StageLink",
    "TeamLimits",
    "Token",
    "TokenBucket",
    "Work",
    "check_key",
    "choose_chain",
    "content_digest",
    "covers",
    "total_demand",
]
