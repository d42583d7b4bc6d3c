"""Coordination between daemons: membership, routing, admission, releases, operations, relay."""

from ragwortpaddled.coordination._admission import AdmissionController
from ragwortpaddled.coordination._chain import (
    ChainContext,
    SequenceSize,
    choose_chain,
    covers_all_layers,
)
from ragwortpaddled.coordination._crash_tracker import CrashTracker
from ragwortpaddled.coordination._dispatcher import Dispatcher, DispatchRequest, Target
from ragwortpaddled.coordination._endpoint_client import EndpointClient
from ragwortpaddled.coordination._endpoint_directory import EndpointDirectory
from ragwortpaddled.coordination._engine_reports import EngineReports
from ragwortpaddled.coordination._explainer import Explainer
from ragwortpaddled.coordination._fleet_view import FleetView
from ragwortpaddled.coordination._forwarding import (
    FORWARDING_HEADER_BYTES,
    EndpointHttp,
    Forwarding,
    RequestForwarder,
)
from ragwortpaddled.coordination._generation import GenerationJob, TokenGenerator
from ragwortpaddled.coordination._layer_placer import LayerPlacer
from ragwortpaddled.coordination._lease import Lease
from ragwortpaddled.coordination._ledger import Ledger
from ragwortpaddled.coordination._limits import TokenBucket
from ragwortpaddled.coordination._membership import Membership
from ragwortpaddled.coordination._object_watcher import ObjectWatcher
from ragwortpaddled.coordination._peer_links import PeerLinks
from ragwortpaddled.coordination._peer_service import PeerService
from ragwortpaddled.coordination._quarantine import QuarantineTracker, content_digest
from ragwortpaddled.coordination._reach_monitor import ReachMonitor
from ragwortpaddled.coordination._recent_requests import RecentRequests, RequestRecord
from ragwortpaddled.coordination._recovery import RecoveryLimiter, RetryBudget
from ragwortpaddled.coordination._relay import Relay
from ragwortpaddled.coordination._relay_directory import RelayDirectory
from ragwortpaddled.coordination._relay_peers import RelayPeers
from ragwortpaddled.coordination._releases import ReleaseTracker
from ragwortpaddled.coordination._services import (
    ServiceProxy,
    ServiceRouter,
    ServiceTarget,
    check_idempotency_key,
)
from ragwortpaddled.coordination._signals import Observation, SignalDebouncer, SignalMonitor
from ragwortpaddled.coordination._stall_locator import StallLocator
from ragwortpaddled.coordination._suspicion_log import SuspicionLog
from ragwortpaddled.coordination._version_reconciler import VersionReconciler

__all__ = [
    "FORWARDING_HEADER_BYTES",
    "AdmissionController",
    "ChainContext",
    "CrashTracker",
    "DispatchRequest",
    "Dispatcher",
    "EndpointClient",
    "EndpointDirectory",
    "EndpointHttp",
    "EngineReports",
    "Explainer",
    "FleetView",
    "Forwarding",
    "GenerationJob",
    "LayerPlacer",
    "Lease",
    "Ledger",
    "Membership",
    "ObjectWatcher",
    "Observation",
    "PeerLinks",
    "PeerService",
    "QuarantineTracker",
    "ReachMonitor",
    "RecentRequests",
    "RecoveryLimiter",
    "Relay",
    "RelayDirectory",
    "RelayPeers",
    "ReleaseTracker",
    "RequestForwarder",
    "RequestRecord",
    "RetryBudget",
    "SequenceSize",
    "ServiceProxy",
    "ServiceRouter",
    "ServiceTarget",
    "SignalDebouncer",
    "SignalMonitor",
    "StallLocator",
    "SuspicionLog",
    "Target",
    "TokenBucket",
    "TokenGenerator",
    "VersionReconciler",
    "check_idempotency_key",
    "choose_chain",
    "content_digest",
    "covers_all_layers",
]
