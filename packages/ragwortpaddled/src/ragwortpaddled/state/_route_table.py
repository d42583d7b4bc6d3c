"""Matches requests to routes, and selects a pool by the route's traffic split."""

import random
from collections import defaultdict
from collections.abc import Sequence

from ragwortpaddled.protocol import PathRoute


class RouteTable:
    """The routes of one configuration, matched by the longest path prefix."""

    def __init__(self, routes: Sequence[PathRoute]) -> None:
        self._routes_by_host: defaultdict[str, list[PathRoute]] = defaultdict(list)
        for route in sorted(routes, key=lambda r: len(r.prefix), reverse=True):
            self._routes_by_host[route.host].append(route)

    def match(self, host: str, path: str) -> PathRoute | None:
        """Return the route with the longest prefix of a path on a host, or None."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def select_pool(route: PathRoute, random_source: random.Random) -> str:
    """Return one of a route's pools at random, in proportion to their weights."""
    names = list(route.weight_by_pool)
    return random_source.choices(names, weights=list(route.weight_by_pool.values()))[0]
