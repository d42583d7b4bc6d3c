"""A release: a numbered, immutable set of operator objects, and its stored form."""

import hashlib
from dataclasses import dataclass, field
from functools import cached_property
from typing import ClassVar

from pydantic import ConfigDict, TypeAdapter, ValidationError

from ragwortpaddled.errors import ObjectsError
from ragwortpaddled.state._objects import ObjectSet, Pool, Priority, Route, Team

RELEASE_KEY = "release/current"
HISTORY_PREFIX = "release/history/"
OBJECTS_PREFIX = "objects/"


@dataclass(frozen=True)
class Release:
    """A published set of operator objects; ``published_at`` is in Unix seconds."""

    __pydantic_config__: ClassVar[ConfigDict] = ConfigDict(extra="forbid")

    number: int
    published_by: str
    published_at: float
    objects: ObjectSet = field(default_factory=ObjectSet)

    @cached_property
    def team_by_token_sha256(self) -> dict[str, Team]:
        """Return the teams by the SHA-256 digest of their bearer token."""
        return {team.token_sha256: team for team in self.objects.team_by_name.values()}

    def team_of(self, token: str) -> Team | None:
        """Return the team of a bearer token, or None if the token is unknown."""
        return self.team_by_token_sha256.get(hashlib.sha256(token.encode()).hexdigest())

    def route_for(self, name: str, team: Team) -> Route | None:
        """Return the route of a name, or None if it does not exist or excludes the team."""
        route = self.objects.route_by_name.get(name)
        if route is None or (route.teams and team.name not in route.teams):
            return None
        return route

    def pool_of(self, route: Route) -> Pool:
        """Return the pool of a route."""
        return self.objects.pool_by_name[route.pool]

    def priority_of(self, route: Route) -> Priority:
        """Return the priority of a route."""
        return self.objects.priority_by_name[route.priority]


_ADAPTER = TypeAdapter(Release)


def encode_release(release: Release) -> str:
    """Return a release as JSON."""
    return _ADAPTER.dump_json(release, exclude_defaults=True).decode()


def decode_release(text: str) -> Release:
    """Parse a release from JSON.

    :raises ObjectsError: the release is malformed
    """
    try:
        return _ADAPTER.validate_json(text)
    except ValidationError as error:
        raise ObjectsError(f"malformed release: {error}") from error


def history_key(number: int) -> str:
    """Return the platform key under which a superseded release is stored."""
    return f"{HISTORY_PREFIX}{number:08d}"


def object_key(kind: str, name: str) -> str:
    """Return the platform key of an operator object."""
    return f"{OBJECTS_PREFIX}{kind}/{name}"
