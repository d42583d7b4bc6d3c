"""Checks a whole set of objects: every broken reference and contradiction at once."""

from collections.abc import Iterator
from dataclasses import dataclass
from functools import singledispatch

from ragwortpaddled.state._objects import (
    Lift,
    Limit,
    ObjectSet,
    OperatorObject,
    Pool,
    Priority,
    Route,
    Team,
)


@dataclass(frozen=True, slots=True)
class Problem:
    """What is wrong with one object, and what to do."""

    kind: str
    name: str
    message: str

    def __str__(self) -> str:
        return f"[{self.kind}:{self.name}] {self.message}"


def check_objects(objects: ObjectSet) -> list[Problem]:
    """Return every problem of the set."""
    problems: list[Problem] = []
    for item in objects:
        messages = _check(item, objects)
        problems.extend(Problem(item.kind, item.name, message) for message in messages)
    problems.extend(_shared_tokens(objects))
    return problems


def _missing(kind: str, name: str, objects: ObjectSet) -> Iterator[str]:
    if name not in objects.by_name(kind):
        yield f"{kind} = {name}: there is no [{kind}:{name}]; add it or name another"


@singledispatch
def _check(item: OperatorObject, objects: ObjectSet) -> Iterator[str]:
    raise NotImplementedError(type(item))


@_check.register
def _check_pool(item: Pool, objects: ObjectSet) -> Iterator[str]:
    if item.serves == "model" and not item.model:
        yield "serves = model needs model"
    if item.serves == "model" and item.layers == 0:
        yield "serves = model needs layers"
    if item.serves == "service" and (item.model or item.layers):
        yield "serves = service takes neither model nor layers"


@_check.register
def _check_route(item: Route, objects: ObjectSet) -> Iterator[str]:
    yield from _missing("pool", item.pool, objects)
    yield from _missing("priority", item.priority, objects)
    for team in item.teams:
        yield from _missing("team", team, objects)
    pool = objects.pool_by_name.get(item.pool)
    if pool is not None and pool.serves == "model" and not item.repeatable:
        yield f"repeatable = no, but pool {pool.name} serves a model; use a service pool"
    if item.dated_keys and item.repeatable:
        yield "dated_keys = yes needs repeatable = no"


@_check.register
def _check_team(item: Team, objects: ObjectSet) -> Iterator[str]:
    if item.limit:
        yield from _missing("limit", item.limit, objects)


@_check.register(Priority)
@_check.register(Lift)
def _check_alone(item: OperatorObject, objects: ObjectSet) -> Iterator[str]:
    yield from ()


@_check.register
def _check_limit(item: Limit, objects: ObjectSet) -> Iterator[str]:
    if not (item.requests_per_second or item.tokens_per_second or item.concurrency):
        yield "sets no bound; give at least one"


def _shared_tokens(objects: ObjectSet) -> Iterator[Problem]:
    first_by_token: dict[str, str] = {}
    for team in objects.team_by_name.values():
        first = first_by_token.setdefault(team.token_sha256, team.name)
        if first != team.name:
            yield Problem("team", team.name, f"has the same token as team {first}")
