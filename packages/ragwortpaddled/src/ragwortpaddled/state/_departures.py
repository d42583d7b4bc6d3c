"""Endpoints seen leaving or removed, which a restored store may list as ready again."""

import time
from collections import OrderedDict
from dataclasses import dataclass

# Endpoints that run write their entries again within seconds of a restore, and the store removes
# the entries of those that don't.
HOLD_SECONDS = 10.0
DEPARTURE_TTL_SECONDS = 120.0  # copies of the store are some seconds old
MAX_DEPARTURES = 4096


@dataclass(frozen=True, slots=True)
class _Departure:
    """One start of an endpoint that has left; ``era`` is that of the store that said so."""

    incarnation: int
    era: int
    seen_at: float  # on the monotonic clock


class Departures:
    """The endpoints that have left, by id."""

    def __init__(self) -> None:
        self._departure_by_id: OrderedDict[str, _Departure] = OrderedDict()

    def record(self, endpoint_id: str, incarnation: int, era: int) -> None:
        """Record that an endpoint is leaving or gone."""
        self._departure_by_id[endpoint_id] = _Departure(incarnation, era, time.monotonic())
        self._departure_by_id.move_to_end(endpoint_id)
        if len(self._departure_by_id) > MAX_DEPARTURES:
            self._departure_by_id.popitem(last=False)

    def discard(self, endpoint_id: str) -> None:
        """Forget the departure of an endpoint."""
        self._departure_by_id.pop(endpoint_id, None)

    def has_left_before(self, endpoint_id: str, incarnation: int, era: int) -> bool:
        """Return whether this start of an endpoint had left in an earlier era of the store."""
        departure = self._departure_by_id.get(endpoint_id)
        return (
            departure is not None
            and departure.incarnation == incarnation
            and departure.era < era
            and time.monotonic() - departure.seen_at < DEPARTURE_TTL_SECONDS
        )

    def before_era(self, era: int) -> dict[str, tuple[int, int]]:
        """Return incarnation and era of the departures in earlier eras, by endpoint id."""
        horizon = time.monotonic() - DEPARTURE_TTL_SECONDS
        return {
            endpoint_id: (departure.incarnation, departure.era)
            for endpoint_id, departure in self._departure_by_id.items()
            if departure.era < era and departure.seen_at > horizon
        }
