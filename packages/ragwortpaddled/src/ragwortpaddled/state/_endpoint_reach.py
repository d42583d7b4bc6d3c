"""Concludes from connection attempts whether this VM's own links to the endpoints work.

Load pattern: a VM loses its links to all endpoints while callers, peers and the store still reach
it. From this VM alone that looks like the failure of each endpoint that it uses.
"""

import time
from collections.abc import Mapping

MIN_UNREACHABLE_ENDPOINTS = 2  # a single one may have failed itself


class EndpointReach:
    """Whether this VM is cut off from the endpoints."""

    def __init__(self) -> None:
        self.cut = False
        self.changed_at = time.monotonic()

    def record_probes(self, connected_by_address: Mapping[str, bool]) -> bool:
        """Record connection attempts to several endpoints; return whether ``cut`` changed.

        One connection shows that the links work: an endpoint that does not accept one has then
        failed itself, or only the link to it has.
        """
        if any(connected_by_address.values()):
            cut = False
        elif len(connected_by_address) >= MIN_UNREACHABLE_ENDPOINTS:
            cut = True
        else:
            return False
        if cut == self.cut:
            return False
        self.cut = cut
        self.changed_at = time.monotonic()
        return True
