"""Validates a set of operator objects, reporting all broken references and conflicts."""

from collections.abc import Iterator
from dataclasses import dataclass
from functools import singledispatch

from ragwortpaddled.state._objects import (
    Limit,
    ObjectSet,
    OperatorObject,
    Pool,
    Priority,
    QuarantineLift,
    Route,
    Team,
)


@dataclass(frozen=True, slots=True)
class Problem:
    """One validation error of one object; its message often says how to fix it."""

    kind: str
    name: str
    message: str

    def __str__(self) -> str:
        return f"[{self.kind}:{self.name}] {self.message}"


def check_objects(objects: ObjectSet) -> list[Problem]:
    """Return the validation errors of all objects in the set."""
    problems: list[Problem] = []
    for item in objects:
        messages = _check(item, objects)
        problems.extend(Problem(item.kind, item.name, message) for message in messages)
    problems.extend(_check_duplicate_tokens(objects))
    return problems


def _check_reference(kind: str, name: str, objects: ObjectSet) -> Iterator[str]:
    if name not in objects.by_name(kind):
        yield f"{kind} = {name}: [{kind}:{name}] does not exist; add it or name another"


@singledispatch
def _check(item: OperatorObject, objects: ObjectSet) -> Iterator[str]:
    raise NotImplementedError(type(item))


@_check.register
def _check_pool(item: Pool, objects: ObjectSet) -> Iterator[str]:
    if item.serves == "model" and not item.model:
        yield "serves = model requires model"
    if item.serves == "model" and item.layers == 0:
        yield "serves = model requires layers greater than 0"
    if item.serves == "service" and (item.model or item.layers):
        yield "serves = service does not allow model or layers"


@_check.register
def _check_route(item: Route, objects: ObjectSet) -> Iterator[str]:
    yield from _check_reference("pool", item.pool, objects)
    yield from _check_reference("priority", item.priority, objects)
    for team in item.teams:
        yield from _check_reference("team", team, objects)
    pool = objects.pool_by_name.get(item.pool)
    if pool is not None and pool.serves == "model" and not item.repeatable:
        yield f"repeatable = no requires a service pool, but pool {pool.name} serves a model"
    if item.dated_keys and item.repeatable:
        yield "dated_keys = yes requires repeatable = no"


@_check.register
def _check_team(item: Team, objects: ObjectSet) -> Iterator[str]:
    if item.limit:
        yield from _check_reference("limit", item.limit, objects)


@_check.register(Priority)
@_check.register(QuarantineLift)
def _check_nothing(item: OperatorObject, objects: ObjectSet) -> Iterator[str]:
    yield from ()


@_check.register
def _check_limit(item: Limit, objects: ObjectSet) -> Iterator[str]:
    if not (item.requests_per_second or item.tokens_per_second or item.concurrency):
        yield "sets no limit; set requests_per_second, tokens_per_second or concurrency"


def _check_duplicate_tokens(objects: ObjectSet) -> Iterator[Problem]:
    first_team_by_token: dict[str, str] = {}
    for team in objects.team_by_name.values():
        first_team = first_team_by_token.setdefault(team.token_sha256, team.name)
        if first_team != team.name:
            yield Problem("team", team.name, f"token_sha256 is already used by team {first_team}")
