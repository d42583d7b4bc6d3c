"""What a daemon knows, and the rules by which it changes."""

from ragwortpaddled.state._blame import SETTLE_SECONDS, Crash, guilty_contents
from ragwortpaddled.state._check import Problem, check_objects
from ragwortpaddled.state._endpoints import Circuit, CircuitState, Endpoint, EndpointTable
from ragwortpaddled.state._gossip_table import GossipTable
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
from ragwortpaddled.state._shard import (
    SEAL_BYTES,
    Shard,
    ShardDraft,
    ShardHead,
    head_key,
    new_segment_key,
)
from ragwortpaddled.state._shares import Claim, divide, own_part

__all__ = [
    "HISTORY_PREFIX",
    "MAX_KEY_BYTES",
    "MAX_RECORDED_BODY_BYTES",
    "OBJECTS_PREFIX",
    "RELEASE_KEY",
    "SEAL_BYTES",
    "SETTLE_SECONDS",
    "TYPE_BY_KIND",
    "Circuit",
    "CircuitState",
    "Claim",
    "Crash",
    "Endpoint",
    "EndpointTable",
    "GossipTable",
    "Limit",
    "ObjectEdit",
    "OperatorObject",
    "Pool",
    "Priority",
    "Problem",
    "Release",
    "Route",
    "Shard",
    "ShardDraft",
    "ShardHead",
    "Team",
    "check_objects",
    "choose",
    "collect",
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
    "rank",
    "read_objects",
    "shard_of",
    "write_object",
]
