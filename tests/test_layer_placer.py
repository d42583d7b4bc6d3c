"""Placement orders are sent only while the lease is held."""

from ragwortpaddled.coordination import EngineReports, LayerPlacer
from ragwortpaddled.protocol import EndpointEntry, LayerRange
from ragwortpaddled.state import Stage
from ragwortpaddled.transport import HttpReply


class RecordingHttp:
    """Records the requests and accepts each."""

    def __init__(self) -> None:
        self.urls: list[str] = []

    async def exchange(self, method: str, url: str, **_: object) -> HttpReply:
        self.urls.append(url)
        return HttpReply(202, (), b"{}")


class NoDirectory:
    """A directory without endpoints."""

    def add_change_listener(self, listener: object) -> None:
        return


class OrderDialect:
    """Encodes orders as empty bodies."""

    order_path = "/order"

    def encode_placement_order(self, order: object) -> bytes:
        return b"{}"

    def build_order_headers(self, endpoint_id: str) -> list:
        return []


class TestOrders:
    async def test_no_order_is_sent_after_the_lease_expired(self) -> None:
        """The process was paused between deciding on an order and sending it."""
        http, dialect = RecordingHttp(), OrderDialect()
        reports = EngineReports(http, dialect)
        placer = LayerPlacer(NoDirectory(), None, http, dialect, reports, "entry-1/1")
        entry = EndpointEntry("e", "model", "10.0.0.1:80", "a", 96, leaving=False)
        stage = Stage("e", LayerRange(0, 40))
        await placer._send_order(entry, stage)
        assert http.urls == []
        placer._lease._valid_until = float("inf")
        await placer._send_order(entry, stage)
        assert http.urls == ["http://10.0.0.1:80/order"]
