"""The configuration objects that operators write, as data classes, and the set of them."""

from collections.abc import Iterator
from dataclasses import dataclass, field, fields
from typing import Annotated, ClassVar, Literal

from pydantic import BeforeValidator, ConfigDict, Field

STRICT_CONFIG = ConfigDict(extra="forbid")
NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$"


def _split_list(value: object) -> object:
    if not isinstance(value, str):
        return value
    return tuple(part.strip() for part in value.split(",") if part.strip())


Name = Annotated[str, Field(pattern=NAME_PATTERN)]
Names = Annotated[tuple[Name, ...], BeforeValidator(_split_list)]
Count = Annotated[int, Field(ge=0)]
Rate = Annotated[float, Field(ge=0, allow_inf_nan=False)]


@dataclass(frozen=True, slots=True)
class Pool:
    """Endpoints that serve one model or one plain service.

    ``layers`` is the total number of layers of the model, 0 for a plain service. ``fencing`` states
    whether the engines check the fencing token of an order to load a version.
    """

    __pydantic_config__: ClassVar[ConfigDict] = STRICT_CONFIG
    kind: ClassVar[str] = "pool"

    name: Name
    serves: Literal["model", "service"]
    model: str = ""
    version: str = ""
    layers: Annotated[int, Field(ge=0, le=4096)] = 0
    fencing: Literal["checked", "ignored"] = "checked"


@dataclass(frozen=True, slots=True)
class Route:
    """Maps the name in a request, a model or the first path segment of a service, to a pool.

    Empty ``teams`` allows every team. With ``repeatable = no``, each request is an operation that
    runs at most once under its idempotency key, which is kept for ``remember_s`` seconds.
    ``dated_keys`` requires keys that contain a timestamp (UUID version 7).
    """

    __pydantic_config__: ClassVar[ConfigDict] = STRICT_CONFIG
    kind: ClassVar[str] = "route"

    name: Name
    pool: Name
    priority: Name
    teams: Names = ()
    path: str = "/"
    repeatable: bool = True
    dated_keys: bool = False
    remember_s: Annotated[int, Field(ge=1, le=7 * 86_400)] = 86_400
    timeout_ms: Annotated[int, Field(ge=1, le=3_600_000)] = 30_000


@dataclass(frozen=True, slots=True)
class Team:
    """A customer, authenticated by the SHA-256 digest of its bearer token."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT_CONFIG
    kind: ClassVar[str] = "team"

    name: Name
    token_sha256: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
    weight: Annotated[float, Field(gt=0, le=1000)] = 1.0
    limit: Annotated[str, Field(pattern=r"^$|" + NAME_PATTERN)] = ""


@dataclass(frozen=True, slots=True)
class Priority:
    """A request priority; requests of a higher level are admitted first."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT_CONFIG
    kind: ClassVar[str] = "priority"

    name: Name
    level: Annotated[int, Field(ge=0, le=9)]


@dataclass(frozen=True, slots=True)
class Limit:
    """Limits that apply to all daemons together; 0 means no limit."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT_CONFIG
    kind: ClassVar[str] = "limit"

    name: Name
    requests_per_second: Rate = 0.0
    tokens_per_second: Rate = 0.0
    concurrency: Count = 0


@dataclass(frozen=True, slots=True)
class QuarantineLift:
    """Ends the quarantine of a request content; the name is the content's digest."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT_CONFIG
    kind: ClassVar[str] = "lift"

    name: Name


OperatorObject = Pool | Route | Team | Priority | Limit | QuarantineLift
OBJECT_TYPES: tuple[type[OperatorObject], ...] = (
    Pool,
    Route,
    Team,
    Priority,
    Limit,
    QuarantineLift,
)
TYPE_BY_KIND = {object_type.kind: object_type for object_type in OBJECT_TYPES}


@dataclass(frozen=True, slots=True)
class ObjectSet:
    """An immutable set of operator objects, by kind and name."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT_CONFIG

    pool_by_name: dict[str, Pool] = field(default_factory=dict)
    route_by_name: dict[str, Route] = field(default_factory=dict)
    team_by_name: dict[str, Team] = field(default_factory=dict)
    priority_by_name: dict[str, Priority] = field(default_factory=dict)
    limit_by_name: dict[str, Limit] = field(default_factory=dict)
    lift_by_name: dict[str, QuarantineLift] = field(default_factory=dict)

    def __iter__(self) -> Iterator[OperatorObject]:
        for table in fields(self):
            yield from getattr(self, table.name).values()

    def __len__(self) -> int:
        return sum(len(getattr(self, table.name)) for table in fields(self))

    def by_name(self, kind: str) -> dict[str, OperatorObject]:
        """Return the objects of one kind by name."""
        table: dict[str, OperatorObject] = getattr(self, f"{kind}_by_name")
        return table

    def with_object(self, item: OperatorObject) -> "ObjectSet":
        """Return a copy of the set with one object added or replaced."""
        tables = {table.name: dict(getattr(self, table.name)) for table in fields(self)}
        tables[f"{item.kind}_by_name"][item.name] = item
        return ObjectSet(**tables)
