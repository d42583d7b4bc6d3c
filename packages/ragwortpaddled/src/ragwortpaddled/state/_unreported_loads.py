"""Estimates the placement of requests that other daemons have not yet reported.

Load pattern: dozens of daemons each send few requests and receive each peer's report only every few
seconds. From the reported load alone, all would select the same path and overcommit its memory.
Exchanges choose their peers at random, so the peers with a recent report are a random sample of all
daemons, and the others are assumed to use each endpoint as much.

Without a sample, a daemon simulates the unreported requests taking the cheapest path one after
another, and selects its own path after a random number of them.
"""

import math
import random
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ragwortpaddled.protocol import EndpointEntry, LayeredModel
from ragwortpaddled.state._endpoint_loads import EndpointLoads
from ragwortpaddled.state._layer_paths import NO_UNREPORTED_LOAD, RequestSize, choose_path
from ragwortpaddled.state._link_loads import LinkLoads

MAX_PLACEMENT_STEPS = 6  # path searches per estimate; each takes about a millisecond
ESTIMATE_TTL_SECONDS = 1.0  # the total over all daemons changes only as fast as traffic does
MIN_UNREPORTED_REQUESTS = 0.5  # a smaller expected number is as likely to be none as one
MIN_SAMPLED_PEERS = 3  # fewer say little about where the others place requests


@dataclass(frozen=True, slots=True)
class _Estimate:
    estimated_at: float
    placed_by_id_after_step: list[Mapping[str, float]]


class UnreportedLoads:
    """Estimates the unreported requests of each pool by endpoint."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._estimate_by_pool: dict[str, _Estimate] = {}

    def sample(
        self,
        pool: str,
        model: LayeredModel,
        endpoints: Sequence[EndpointEntry],
        loads: EndpointLoads,
        links: LinkLoads,
    ) -> Mapping[str, float]:
        """Return an estimate of the unreported requests by endpoint id.

        Without enough recent reports, it is the state after a random number of steps of the
        simulated placement.
        """
        reporting_peers = loads.count_reporting_peers()
        if reporting_peers >= MIN_SAMPLED_PEERS:
            return _extrapolate(endpoints, loads, reporting_peers)
        count = loads.estimate_unreported_requests(pool)
        if count < MIN_UNREPORTED_REQUESTS:
            return NO_UNREPORTED_LOAD
        estimate = self._estimate_by_pool.get(pool)
        if estimate is None or time.monotonic() - estimate.estimated_at > ESTIMATE_TTL_SECONDS:
            estimate = _Estimate(
                time.monotonic(), _estimate_placement(model, endpoints, loads, links, count)
            )
            self._estimate_by_pool[pool] = estimate
        return self._random.choice(estimate.placed_by_id_after_step)


def _extrapolate(
    endpoints: Sequence[EndpointEntry], loads: EndpointLoads, reporting_peers: int
) -> Mapping[str, float]:
    """Assume that each daemon without a report uses the endpoints like the mean reporting peer."""
    unreporting_daemons = max(0, loads.daemon_count - 1 - reporting_peers)
    if not unreporting_daemons:
        return NO_UNREPORTED_LOAD
    return {
        endpoint.id: requests * unreporting_daemons / reporting_peers
        for endpoint in endpoints
        if (requests := loads.get(endpoint.id).peer_requests)
    }


def _estimate_placement(
    model: LayeredModel,
    endpoints: Sequence[EndpointEntry],
    loads: EndpointLoads,
    links: LinkLoads,
    count: float,
) -> list[Mapping[str, float]]:
    """Place requests on the cheapest paths in equal steps; return the load after each."""
    step_count = min(MAX_PLACEMENT_STEPS, math.ceil(count))
    request_size = RequestSize(model.typical_prompt_tokens, model.typical_answer_tokens)
    placed_by_id: dict[str, float] = {}
    placed_by_id_after_step: list[Mapping[str, float]] = [NO_UNREPORTED_LOAD]
    for _ in range(step_count):
        hops = choose_path(
            model, endpoints, loads, links, request_size, unreported_by_id=placed_by_id
        ).hops
        if not hops:
            break
        for hop in hops:
            placed_by_id[hop.endpoint_id] = (
                placed_by_id.get(hop.endpoint_id, 0.0) + count / step_count
            )
        placed_by_id_after_step.append(dict(placed_by_id))
    return placed_by_id_after_step
