"""What daemons decide and do together."""

from ragwortpaddled.coordination._admission import Admission
from ragwortpaddled.coordination._directory import Directory
from ragwortpaddled.coordination._generation import Generator, Job
from ragwortpaddled.coordination._ledger import Ledger
from ragwortpaddled.coordination._membership import Membership, PeerLinks
from ragwortpaddled.coordination._peer_service import PeerService
from ragwortpaddled.coordination._quarantine import Quarantines, content_digest
from ragwortpaddled.coordination._recovery import RecoveryGate, RetryBudget
from ragwortpaddled.coordination._releases import ReleaseFollower
from ragwortpaddled.coordination._services import ServiceRouter, Services, ServiceTarget, check_key
from ragwortpaddled.coordination._summaries import Fleet

__all__ = [
    "Admission",
    "Directory",
    "Fleet",
    "Generator",
    "Job",
    "Ledger",
    "Membership",
    "PeerLinks",
    "PeerService",
    "Quarantines",
    "RecoveryGate",
    "ReleaseFollower",
    "RetryBudget",
    "ServiceRouter",
    "ServiceTarget",
    "Services",
    "check_key",
    "content_digest",
]
