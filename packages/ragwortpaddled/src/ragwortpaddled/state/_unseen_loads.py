"""Where the requests run that other daemons hold and have not told of yet.

Load pattern: dozens of daemons that each send little and hear of each peer every few seconds. By
what each knows, all would choose the same path until it is far over its memory. So a daemon works
out where the unseen requests go if each takes the best path that is left, and draws at random how
many of them were there before its own request.
"""

import math
import random
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ragwortpaddled.protocol import EndpointEntry, LayeredModel
from ragwortpaddled.state._endpoint_loads import EndpointLoads
from ragwortpaddled.state._layer_paths import NOTHING_UNSEEN, PathDemand, choose_path
from ragwortpaddled.state._link_loads import LinkLoads

MAX_STEPS = 16  # searches a pass; more steps would only place the same load more finely
PASS_SECONDS = 1.0  # the sum over all daemons changes no faster than traffic does
MIN_REQUESTS = 0.5  # less is as likely none as one


@dataclass(frozen=True, slots=True)
class _Pass:
    made_at: float
    requests_by_id_after_step: list[Mapping[str, float]]


class UnseenLoads:
    """The unseen requests of each pool by endpoint."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._pass_by_pool: dict[str, _Pass] = {}

    def clear(self) -> None:
        """Forget what was worked out, since the endpoints changed."""
        self._pass_by_pool.clear()

    def draw(
        self,
        pool: str,
        model: LayeredModel,
        endpoints: Sequence[EndpointEntry],
        loads: EndpointLoads,
        links: LinkLoads,
    ) -> Mapping[str, float]:
        """Return the unseen requests by endpoint that a new request should reckon with."""
        count = loads.unseen_requests(pool)
        if count < MIN_REQUESTS:
            return NOTHING_UNSEEN
        known = self._pass_by_pool.get(pool)
        if known is None or time.monotonic() - known.made_at > PASS_SECONDS:
            known = _Pass(time.monotonic(), _place(model, endpoints, loads, links, count))
            self._pass_by_pool[pool] = known
        return self._random.choice(known.requests_by_id_after_step)


def _place(
    model: LayeredModel,
    endpoints: Sequence[EndpointEntry],
    loads: EndpointLoads,
    links: LinkLoads,
    count: float,
) -> list[Mapping[str, float]]:
    """Give the unseen requests the best paths one step after the other."""
    steps = min(MAX_STEPS, math.ceil(count))
    demand = PathDemand(model.usual_prompt_tokens, model.usual_answer_tokens)
    placed: dict[str, float] = {}
    after_step: list[Mapping[str, float]] = [NOTHING_UNSEEN]
    for _ in range(steps):
        hops = choose_path(model, endpoints, loads, links, demand, unseen_by_id=placed).hops
        if not hops:
            break
        for hop in hops:
            placed[hop.endpoint_id] = placed.get(hop.endpoint_id, 0.0) + count / steps
        after_step.append(dict(placed))
    return after_step
