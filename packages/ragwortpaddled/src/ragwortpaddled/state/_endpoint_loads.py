"""What each endpoint carries now, as far as one daemon can tell.

Load pattern: several daemons that send to the same endpoints at once. Own work is known at once;
the others' is learned from the load that endpoints state in their responses, which is fresh on
the busiest ones.
"""

import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

FULL_SECONDS = 0.15  # an engine that was full has room again after some steps
SUSPECT_SECONDS = 1.0  # first exclusion; a crashed endpoint is back after some seconds
# An engine that another blames, or that refuses after waiting, lost what it held. Its entry lapses
# after three heartbeats of about a second.
BLAMED_SECONDS = 4.0
MAX_SUSPECT_SECONDS = 4.0
SUSPECTING_PEERS = 2  # one daemon alone may have lost its own path to an endpoint
# News of a peer says little about its requests after the usual length of a generation.
NEWS_SECONDS = 2.0
STATED_SECONDS = 2.0  # a stated load says little after the usual length of a generation


@dataclass(slots=True)
class EndpointLoad:
    """The load of one endpoint."""

    own: int = 0
    own_tokens: float = 0.0
    peers: int = 0
    stated_others: int = 0
    stated_at: float = 0.0
    suspect_until: float = 0.0
    failures: int = 0
    blamed: bool = False
    suspecting_peers: int = 0

    def others(self, now: float) -> float:
        """Return the requests of other daemons: what peers say, or what was stated of late."""
        age = now - self.stated_at
        stated = self.stated_others * max(0.0, 1.0 - age / STATED_SECONDS)
        return max(float(self.peers), stated)

    def running(self, now: float) -> float:
        """Return the requests that the endpoint carries."""
        return self.own + self.others(now)

    def suspect(self, now: float) -> bool:
        """Tell whether recent failures speak against the endpoint."""
        return now < self.suspect_until or self.suspecting_peers >= SUSPECTING_PEERS

    def lost(self, now: float) -> bool:
        """Tell whether several daemons agree that an engine is gone."""
        own = 1 if self.blamed and now < self.suspect_until else 0
        return own + self.suspecting_peers >= SUSPECTING_PEERS


@dataclass(slots=True)
class _PeerNews:
    heard_at: float
    running_by_id: Mapping[str, int]
    requests_by_pool: Mapping[str, int]
    suspects: list[str]


class EndpointLoads:
    """The loads by endpoint id."""

    def __init__(self) -> None:
        self.by_id: dict[str, EndpointLoad] = {}
        self.daemons = 1
        self.own_requests_by_pool: Counter[str] = Counter()
        # In the order in which they were heard.
        self._news_by_peer: dict[str, _PeerNews] = {}

    def own_running(self) -> dict[str, int]:
        """Return the own running requests by endpoint."""
        return {endpoint_id: load.own for endpoint_id, load in self.by_id.items() if load.own}

    def own_suspects(self) -> list[str]:
        """Return the engines that this daemon has evidence against."""
        now = time.monotonic()
        return [i for i, load in self.by_id.items() if load.blamed and now < load.suspect_until]

    def take_peer(
        self,
        name: str,
        running_by_id: Mapping[str, int],
        suspects: list[str],
        requests_by_pool: Mapping[str, int] | None = None,
    ) -> None:
        """Take in the running requests and the suspicions of another daemon."""
        self.forget_peer(name)
        for endpoint_id in suspects:
            self.of(endpoint_id).suspecting_peers += 1
        for endpoint_id, count in running_by_id.items():
            self.of(endpoint_id).peers += count
        self._news_by_peer[name] = _PeerNews(
            time.monotonic(), running_by_id, requests_by_pool or {}, suspects
        )

    def forget_peer(self, name: str) -> None:
        """Drop what another daemon said."""
        news = self._news_by_peer.pop(name, None)
        if news is None:
            return
        for endpoint_id in news.suspects:
            self.of(endpoint_id).suspecting_peers -= 1
        for endpoint_id, count in news.running_by_id.items():
            self.of(endpoint_id).peers -= count

    def unseen_requests(self, pool: str) -> float:
        """Estimate the requests of a pool at daemons that were not heard of lately."""
        self._drop_old_news()
        counts = [news.requests_by_pool.get(pool, 0) for news in self._news_by_peer.values()]
        heard = len(counts) + 1
        # The request for which this is asked counts too: where one came, others have come.
        mean = (sum(counts) + self.own_requests_by_pool[pool] + 1) / (heard + 1)
        return mean * max(0, self.daemons - heard)

    def _drop_old_news(self) -> None:
        horizon = time.monotonic() - NEWS_SECONDS
        while self._news_by_peer:
            name = next(iter(self._news_by_peer))
            if self._news_by_peer[name].heard_at >= horizon:
                return
            self.forget_peer(name)

    def of(self, endpoint_id: str) -> EndpointLoad:
        """Return the load of an endpoint, which may not have been used yet."""
        load = self.by_id.get(endpoint_id)
        if load is None:
            load = self.by_id[endpoint_id] = EndpointLoad()
        return load

    def begin(self, endpoint_id: str, tokens: float) -> None:
        """Count a request that is sent."""
        load = self.of(endpoint_id)
        load.own += 1
        load.own_tokens += tokens

    def end(self, endpoint_id: str, tokens: float) -> None:
        """Count a request that ended."""
        load = self.of(endpoint_id)
        load.own -= 1
        load.own_tokens -= tokens

    def state(self, endpoint_id: str, running: int) -> None:
        """Take in the load that an endpoint stated, own requests included."""
        load = self.of(endpoint_id)
        load.stated_others = max(0, running - load.own)
        load.stated_at = time.monotonic()

    def fail(self, endpoint_id: str, *, blamed: bool = False) -> float:
        """Avoid an endpoint for a while, longer each time; return the seconds."""
        load = self.of(endpoint_id)
        load.failures += 1
        load.blamed = load.blamed or blamed
        if blamed:
            load.suspect_until = time.monotonic() + BLAMED_SECONDS
            return BLAMED_SECONDS
        seconds = min(MAX_SUSPECT_SECONDS, SUSPECT_SECONDS * 2 ** (load.failures - 1))
        load.suspect_until = time.monotonic() + seconds
        return seconds

    def turn_away(self, endpoint_id: str) -> float:
        """Leave an endpoint alone that refused at once, so it lives but has no room."""
        load = self.of(endpoint_id)
        load.suspect_until = max(load.suspect_until, time.monotonic() + FULL_SECONDS)
        return FULL_SECONDS

    def succeed(self, endpoint_id: str) -> bool:
        """Forget the failures of an endpoint; return whether there were any."""
        load = self.of(endpoint_id)
        had_failed = load.failures > 0
        load.failures = 0
        load.blamed = False
        load.suspect_until = 0.0
        return had_failed

    def forget(self, known_ids: set[str]) -> None:
        """Drop idle endpoints that are no longer listed."""
        for endpoint_id, load in list(self.by_id.items()):
            if endpoint_id not in known_ids and not (load.own or load.peers):
                del self.by_id[endpoint_id]
