"""Rate limits of teams: each daemon enforces its share, in proportion to its local demand."""

import random
import time
from collections import defaultdict

from ragwortpaddled.coordination._fleet_view import FleetView
from ragwortpaddled.protocol import Refusal
from ragwortpaddled.state import Limit, Release, Team, local_share

RATE_HALF_LIFE_SECONDS = 1.0
MIN_RETRY_AFTER_SECONDS = 0.5


class DecayingRate:
    """A rate in events per second, smoothed by exponential decay."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._updated_at = time.monotonic()

    def add(self, count: float) -> None:
        """Add events that occurred now."""
        self._decay()
        self._rate += count / RATE_HALF_LIFE_SECONDS

    def value(self) -> float:
        """Return the smoothed rate."""
        self._decay()
        return self._rate

    def _decay(self) -> None:
        now = time.monotonic()
        self._rate *= 0.5 ** ((now - self._updated_at) / RATE_HALF_LIFE_SECONDS)
        self._updated_at = now


class TokenBucket:
    """A token bucket with a burst of one second of its rate, but at least 1."""

    def __init__(self) -> None:
        self._level: float | None = None
        self._updated_at = time.monotonic()

    def take(self, rate: float, amount: float) -> float:
        """Take an amount and return 0, or take nothing and return the seconds to wait for it.

        :param rate: the amount per second at which the bucket is refilled
        """
        now = time.monotonic()
        burst = max(1.0, rate)
        level = burst if self._level is None else self._level
        level = min(burst, level + (now - self._updated_at) * rate)
        self._updated_at = now
        if level <= 0 or (amount <= burst and level < amount):
            self._level = level
            return (min(amount, burst) - level) / max(rate, 1e-6)
        # An amount larger than the burst makes the level negative, and later requests wait until
        # it is refilled.
        self._level = level - amount
        return 0.0


class TeamLimits:
    """The rate limits of all teams; enforces this daemon's share of each."""

    def __init__(self, fleet_view: FleetView) -> None:
        self._fleet_view = fleet_view
        self._request_bucket_by_team: defaultdict[str, TokenBucket] = defaultdict(TokenBucket)
        self._token_bucket_by_team: defaultdict[str, TokenBucket] = defaultdict(TokenBucket)
        self._request_rate_by_team: defaultdict[str, DecayingRate] = defaultdict(DecayingRate)

    def admit(self, release: Release, team: Team, expected_tokens: int) -> None:
        """Count a request against its team's limit.

        :raises Refusal: the limit is exceeded
        """
        self._request_rate_by_team[team.name].add(1)
        limit = release.objects.limit_by_name.get(team.limit)
        if limit is None:
            return
        local_share = self._local_share(team.name)
        wait_seconds = self._wait_seconds(limit, team.name, local_share, expected_tokens)
        if wait_seconds > 0:
            raise Refusal(
                429,
                "team_limit",
                f"limit {limit.name} of team {team.name} is exceeded",
                retry_after_seconds=max(
                    MIN_RETRY_AFTER_SECONDS, wait_seconds * random.uniform(1.0, 1.2)
                ),
            )

    def _wait_seconds(
        self, limit: Limit, team: str, local_share: float, expected_tokens: int
    ) -> float:
        if limit.requests_per_second:
            wait_seconds = self._request_bucket_by_team[team].take(
                limit.requests_per_second * local_share, 1.0
            )
            if wait_seconds > 0:
                return wait_seconds
        if limit.tokens_per_second and expected_tokens:
            bucket = self._token_bucket_by_team[team]
            return bucket.take(limit.tokens_per_second * local_share, float(expected_tokens))
        return 0.0

    def _local_share(self, team: str) -> float:
        local_rate = self._request_rate_by_team[team].value()
        remote_rate = sum(
            line.requests_per_second
            for line in self._fleet_view.demand_at_other_daemons()
            if line.team == team
        )
        return local_share(1.0, local_rate, remote_rate)
