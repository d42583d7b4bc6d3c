"""The state that a daemon keeps in memory, and the rules that update it."""

from ragwortpaddled.state._blame import SETTLE_SECONDS, Crash, guilty_contents
from ragwortpaddled.state._check import Problem, check_objects
from ragwortpaddled.state._endpoint_loads import EndpointLoad, EndpointLoads
from ragwortpaddled.state._endpoints import Circuit, CircuitState, Endpoint, EndpointTable
from ragwortpaddled.state._event_split import EventSplitter
from ragwortpaddled.state._gossip_table import GossipTable
from ragwortpaddled.state._layer_paths import (
    NOTHING_UNSEEN,
    PathChoice,
    PathDemand,
    choose_path,
    covers,
    crossing_bits,
)
from ragwortpaddled.state._link_loads import Link, LinkLoads
from ragwortpaddled.state._objects import (
    TYPE_BY_KIND,
    Limit,
    OperatorObject,
    Pool,
    Priority,
    Route,
    Team,
)
from ragwortpaddled.state._objects_text import (
    ObjectEdit,
    collect,
    decode_object,
    differing_fields,
    encode_object,
    read_objects,
    write_object,
)
from ragwortpaddled.state._operations import (
    MAX_KEY_BYTES,
    MAX_RECORDED_BODY_BYTES,
    key_date,
    operation_key,
    shard_of,
)
from ragwortpaddled.state._placement import (
    Chain,
    Engine,
    Stage,
    plan_chains,
    repair_chains,
    token_capacity,
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
from ragwortpaddled.state._rendezvous import choose, rank
from ragwortpaddled.state._route_table import RouteTable, pick_pool
from ragwortpaddled.state._send_budget import BudgetBounds, SendBudget
from ragwortpaddled.state._shard import (
    SEAL_BYTES,
    Shard,
    ShardDraft,
    ShardHead,
    head_key,
    new_segment_key,
)
from ragwortpaddled.state._shares import Claim, divide, own_part
from ragwortpaddled.state._unseen_loads import UnseenLoads

__all__ = [
    "HISTORY_PREFIX",
    "MAX_KEY_BYTES",
    "MAX_RECORDED_BODY_BYTES",
    "NOTHING_UNSEEN",
    "OBJECTS_PREFIX",
    "RELEASE_KEY",
    "SEAL_BYTES",
    "SETTLE_SECONDS",
    "TYPE_BY_KIND",
    "BudgetBounds",
    "Chain",
    "Circuit",
    "CircuitState",
    "Claim",
    "Crash",
    "Endpoint",
    "EndpointLoad",
    "EndpointLoads",
    "EndpointTable",
    "Engine",
    "EventSplitter",
    "GossipTable",
    "Limit",
    "Link",
    "LinkLoads",
    "ObjectEdit",
    "OperatorObject",
    "PathChoice",
    "PathDemand",
    "Pool",
    "Priority",
    "Problem",
    "Release",
    "Route",
    "RouteTable",
    "SendBudget",
    "Shard",
    "ShardDraft",
    "ShardHead",
    "Stage",
    "Team",
    "UnseenLoads",
    "check_objects",
    "choose",
    "choose_path",
    "collect",
    "covers",
    "crossing_bits",
    "decode_object",
    "decode_release",
    "differing_fields",
    "divide",
    "encode_object",
    "encode_release",
    "guilty_contents",
    "head_key",
    "history_key",
    "key_date",
    "new_segment_key",
    "object_key",
    "operation_key",
    "own_part",
    "pick_pool",
    "plan_chains",
    "rank",
    "read_objects",
    "repair_chains",
    "shard_of",
    "token_capacity",
    "write_object",
]
