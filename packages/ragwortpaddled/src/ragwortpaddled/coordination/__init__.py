"""Coordination between daemons: membership, routing, admission, releases, operations, relay."""

from ragwortpaddled.coordination._admission import Admission
from ragwortpaddled.coordination._chain import ChainContext, Work, choose_chain, covers
from ragwortpaddled.coordination._directory import Directory
from ragwortpaddled.coordination._dispatcher import Dispatcher, PlaceRequest, Target
from ragwortpaddled.coordination._engine_reports import EngineReports
from ragwortpaddled.coordination._explainer import Explainer
from ragwortpaddled.coordination._fault_finder import FaultFinder
from ragwortpaddled.coordination._generation import Generator, Job
from ragwortpaddled.coordination._journal import Journal, RequestRecord
from ragwortpaddled.coordination._lease import Lease
from ragwortpaddled.coordination._ledger import Ledger
from ragwortpaddled.coordination._limits import TokenBucket
from ragwortpaddled.coordination._membership import Membership
from ragwortpaddled.coordination._object_follower import ObjectFollower
from ragwortpaddled.coordination._orders import OrderKeeper
from ragwortpaddled.coordination._peer_links import PeerLinks
from ragwortpaddled.coordination._peer_service import PeerService
from ragwortpaddled.coordination._placer import Placer
from ragwortpaddled.coordination._quarantine import Quarantines, content_digest
from ragwortpaddled.coordination._recovery import RecoveryGate, RetryBudget
from ragwortpaddled.coordination._relay import Relay
from ragwortpaddled.coordination._relay_exchange import Exchanger
from ragwortpaddled.coordination._relay_fleet import RelayFleet
from ragwortpaddled.coordination._relay_peers import RelayPeers
from ragwortpaddled.coordination._releases import ReleaseFollower
from ragwortpaddled.coordination._services import ServiceRouter, Services, ServiceTarget, check_key
from ragwortpaddled.coordination._signals import Observation, SignalBoard, Watchman
from ragwortpaddled.coordination._summaries import Fleet

__all__ = [
    "Admission",
    "ChainContext",
    "Directory",
    "Dispatcher",
    "EngineReports",
    "Exchanger",
    "Explainer",
    "FaultFinder",
    "Fleet",
    "Generator",
    "Job",
    "Journal",
    "Lease",
    "Ledger",
    "Membership",
    "ObjectFollower",
    "Observation",
    "OrderKeeper",
    "PeerLinks",
    "PeerService",
    "PlaceRequest",
    "Placer",
    "Quarantines",
    "RecoveryGate",
    "Relay",
    "RelayFleet",
    "RelayPeers",
    "ReleaseFollower",
    "RequestRecord",
    "RetryBudget",
    "ServiceRouter",
    "ServiceTarget",
    "Services",
    "SignalBoard",
    "Target",
    "TokenBucket",
    "Watchman",
    "Work",
    "check_key",
    "choose_chain",
    "content_digest",
    "covers",
]
