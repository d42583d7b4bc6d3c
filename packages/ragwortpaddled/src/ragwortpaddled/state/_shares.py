"""Divides places between teams: weighted max-min, so that what one leaves others may use."""

import math
from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Claim:
    """What a team asks for, its weight, and its own bound."""

    demand: float
    weight: float = 1.0
    bound: float = math.inf


def divide(places: float, claim_by_team: Mapping[str, Claim]) -> dict[str, float]:
    """Return each team's places: no more than it asks for, the rest in proportion to weight."""
    share_by_team: dict[str, float] = {}
    open_teams = dict(claim_by_team)
    left = places
    while open_teams:
        total_weight = sum(claim.weight for claim in open_teams.values())
        unit = left / total_weight
        content = {
            team: min(claim.demand, claim.bound)
            for team, claim in open_teams.items()
            if min(claim.demand, claim.bound) <= unit * claim.weight
        }
        if not content:
            for team, claim in open_teams.items():
                share_by_team[team] = unit * claim.weight
            return share_by_team
        for team, places_taken in content.items():
            share_by_team[team] = places_taken
            left = max(0.0, left - places_taken)
            del open_teams[team]
    return share_by_team


def own_part(total: float, own_demand: float, other_demand: float) -> float:
    """Return this daemon's part of a team's total, in proportion to the demand it sees."""
    everyone = own_demand + other_demand
    if everyone <= 0:
        return total
    return total * own_demand / everyone
