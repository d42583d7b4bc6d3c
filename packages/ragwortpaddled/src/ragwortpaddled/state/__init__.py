"""The state that a daemon keeps in memory, and the rules that update it."""

from ragwortpaddled.state._check import Problem, check_objects
from ragwortpaddled.state._crash_causes import CrashCause
from ragwortpaddled.state._crash_correlation import (
    EVIDENCE_DELAY_SECONDS,
    Crash,
    find_poison_contents,
)
from ragwortpaddled.state._crash_record import RECORD_TTL_SECONDS
from ragwortpaddled.state._crash_records import CrashRecords
from ragwortpaddled.state._departures import HOLD_SECONDS, Departures
from ragwortpaddled.state._drain import DrainPlan, ResponseTimes
from ragwortpaddled.state._endpoint_loads import (
    MIN_UNREACHABLE_SECONDS,
    EndpointLoad,
    EndpointLoads,
    Suspicion,
)
from ragwortpaddled.state._endpoint_reach import MIN_UNREACHABLE_ENDPOINTS, EndpointReach
from ragwortpaddled.state._endpoints import Circuit, CircuitState, Endpoint, EndpointTable
from ragwortpaddled.state._event_splitter import EventSplitter
from ragwortpaddled.state._fair_shares import ShareDemand, local_share, max_min_shares
from ragwortpaddled.state._forwarding_peers import ForwardingPeer, ForwardingPeers
from ragwortpaddled.state._gossip_table import GossipTable
from ragwortpaddled.state._layer_paths import (
    NO_UNREPORTED_LOAD,
    PathChoice,
    RequestSize,
    all_layers_available,
    choose_path,
    transfer_bits,
)
from ragwortpaddled.state._link_loads import Link, LinkLoads
from ragwortpaddled.state._object_codec import (
    ObjectEdit,
    build_object_set,
    decode_object,
    diff_objects,
    encode_object,
    format_object,
    read_objects,
)
from ragwortpaddled.state._objects import (
    TYPE_BY_KIND,
    Limit,
    OperatorObject,
    Pool,
    Priority,
    Route,
    Team,
)
from ragwortpaddled.state._operations import (
    MAX_KEY_BYTES,
    MAX_RECORDED_BODY_BYTES,
    merge_records,
    operation_key,
    parse_key_timestamp,
    record_after,
    shard_for_key,
)
from ragwortpaddled.state._placement import (
    Chain,
    Engine,
    Stage,
    plan_chains,
    repair_chains,
    token_capacity,
)
from ragwortpaddled.state._pool_retry_budget import (
    LOAN_SECONDS,
    PoolRetryBudget,
    Retry,
    RetryBudgetBounds,
)
from ragwortpaddled.state._release import (
    HISTORY_PREFIX,
    OBJECTS_PREFIX,
    RELEASE_KEY,
    Release,
    decode_release,
    encode_release,
    history_key,
    object_key,
)
from ragwortpaddled.state._rendezvous import choose_by_rendezvous, rank_by_rendezvous
from ragwortpaddled.state._request_fingerprint import RequestFingerprint, fingerprint
from ragwortpaddled.state._request_limits import RequestLimits
from ragwortpaddled.state._route_table import RouteTable, select_pool
from ragwortpaddled.state._shard import (
    MAX_HEAD_BYTES,
    Shard,
    ShardDraft,
    ShardHead,
    head_key,
    new_segment_key,
)
from ragwortpaddled.state._unreported_loads import UnreportedLoads

__all__ = [
    "EVIDENCE_DELAY_SECONDS",
    "HISTORY_PREFIX",
    "HOLD_SECONDS",
    "LOAN_SECONDS",
    "MAX_HEAD_BYTES",
    "MAX_KEY_BYTES",
    "MAX_RECORDED_BODY_BYTES",
    "MIN_UNREACHABLE_ENDPOINTS",
    "MIN_UNREACHABLE_SECONDS",
    "NO_UNREPORTED_LOAD",
    "OBJECTS_PREFIX",
    "RECORD_TTL_SECONDS",
    "RELEASE_KEY",
    "TYPE_BY_KIND",
    "Chain",
    "Circuit",
    "CircuitState",
    "Crash",
    "CrashCause",
    "CrashRecords",
    "Departures",
    "DrainPlan",
    "Endpoint",
    "EndpointLoad",
    "EndpointLoads",
    "EndpointReach",
    "EndpointTable",
    "Engine",
    "EventSplitter",
    "ForwardingPeer",
    "ForwardingPeers",
    "GossipTable",
    "Limit",
    "Link",
    "LinkLoads",
    "ObjectEdit",
    "OperatorObject",
    "PathChoice",
    "Pool",
    "PoolRetryBudget",
    "Priority",
    "Problem",
    "Release",
    "RequestFingerprint",
    "RequestLimits",
    "RequestSize",
    "ResponseTimes",
    "Retry",
    "RetryBudgetBounds",
    "Route",
    "RouteTable",
    "Shard",
    "ShardDraft",
    "ShardHead",
    "ShareDemand",
    "Stage",
    "Suspicion",
    "Team",
    "UnreportedLoads",
    "all_layers_available",
    "build_object_set",
    "check_objects",
    "choose_by_rendezvous",
    "choose_path",
    "decode_object",
    "decode_release",
    "diff_objects",
    "encode_object",
    "encode_release",
    "find_poison_contents",
    "fingerprint",
    "format_object",
    "head_key",
    "history_key",
    "local_share",
    "max_min_shares",
    "merge_records",
    "new_segment_key",
    "object_key",
    "operation_key",
    "parse_key_timestamp",
    "plan_chains",
    "rank_by_rendezvous",
    "read_objects",
    "record_after",
    "repair_chains",
    "select_pool",
    "shard_for_key",
    "token_capacity",
    "transfer_bits",
]
