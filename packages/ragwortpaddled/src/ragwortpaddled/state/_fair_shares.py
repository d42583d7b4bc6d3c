"""Weighted max-min fair shares: capacity that one team leaves unused goes to the others."""

import math
from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ShareDemand:
    """The demand, weight and upper bound of one team."""

    demand: float
    weight: float = 1.0
    bound: float = math.inf


def max_min_shares(slots: float, claim_by_team: Mapping[str, ShareDemand]) -> dict[str, float]:
    """Return each team's share of the slots.

    A team gets at most its demand and its bound; teams that want more share the remaining slots in
    proportion to their weights.
    """
    share_by_team: dict[str, float] = {}
    unsatisfied = dict(claim_by_team)
    remaining = slots
    while unsatisfied:
        total_weight = sum(claim.weight for claim in unsatisfied.values())
        share_per_weight = remaining / total_weight
        satisfied = {
            team: min(claim.demand, claim.bound)
            for team, claim in unsatisfied.items()
            if min(claim.demand, claim.bound) <= share_per_weight * claim.weight
        }
        if not satisfied:
            for team, claim in unsatisfied.items():
                share_by_team[team] = share_per_weight * claim.weight
            return share_by_team
        for team, share in satisfied.items():
            share_by_team[team] = share
            remaining = max(0.0, remaining - share)
            del unsatisfied[team]
    return share_by_team


def local_share(total: float, own_demand: float, other_demand: float) -> float:
    """Return this daemon's share of a team's total, in proportion to its part of the demand."""
    total_demand = own_demand + other_demand
    if total_demand <= 0:
        return total
    return total * own_demand / total_demand
