"""What one daemon knows of the daemons of other data centres, without processes."""

import asyncio
import gc
import random
import time
from pathlib import Path

import pytest
from ragwortpaddle_standins.fleet import PEER_KEY_FILE_TEXT
from ragwortpaddled.coordination import FleetView, Membership, PeerLinks, ReleaseTracker
from ragwortpaddled.protocol import (
    FetchSummary,
    MemberSummary,
    Origin,
    PlatformClient,
    StoreEra,
    Summary,
    Vm,
    encode_value,
)
from ragwortpaddled.state import GossipTable
from ragwortpaddled.transport import HttpClient, KeyRing

AFTER_SUMMARY_IS_STALE_SECONDS = 9.0


async def make_fleet_view(keys: KeyRing | None = None) -> FleetView:
    table = GossipTable(Origin("entry-1", 1, "dc-a", "127.0.0.1:1"))
    random_source = random.Random(1)
    membership = Membership(
        table,
        PeerLinks(keys or KeyRing()),
        interval_seconds=0.25,
        suspect_after_seconds=1.5,
        dead_after_seconds=4.0,
        random_source=random_source,
    )
    platform = PlatformClient(HttpClient(), "http://127.0.0.1:1", 1.0)
    return FleetView(membership, ReleaseTracker(membership, platform, random_source), random_source)


class TestClose:
    def test_exchange_in_flight_is_ended(
        self, tmp_path: Path, caplog: pytest.LogCaptureFixture
    ) -> None:
        """Its error was never retrieved when the connections were closed under it."""

        key_file = tmp_path / "peer-keys"
        key_file.write_text(PEER_KEY_FILE_TEXT)

        async def close_during_an_exchange() -> None:
            view = await make_fleet_view(KeyRing(key_file))
            view.set_vms([Vm("entry-2", "entry", "127.0.0.1:2", "dc-b", "", "127.0.0.1:2")])
            await asyncio.sleep(0.05)
            await view.close()
            view.membership.links.close()
            await asyncio.sleep(0.05)
            assert asyncio.all_tasks() == {asyncio.current_task()}

        asyncio.run(close_during_an_exchange())
        gc.collect()
        assert "never retrieved" not in caplog.text


class TestSummaries:
    def test_daemons_of_a_stale_summary_are_forgotten(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Nothing but the time has changed, so the views must not wait for another change."""

        async def receive_one_summary() -> None:
            view = await make_fleet_view()
            member = MemberSummary("entry-2", "127.0.0.1:2", 1, StoreEra(1, 0))
            view.handle_summary(FetchSummary("dc-b", encode_value(Summary([member], [], [], []))))
            assert set(view.address_by_name()) == {"entry-1", "entry-2"}
            assert list(view.eras_of_others()) == [StoreEra(1, 0)]
            later = time.monotonic() + AFTER_SUMMARY_IS_STALE_SECONDS
            monkeypatch.setattr(time, "monotonic", lambda: later)
            running = asyncio.create_task(view.run())
            await asyncio.sleep(0)
            running.cancel()
            assert set(view.address_by_name()) == {"entry-1"}
            assert list(view.eras_of_others()) == []

        asyncio.run(receive_one_summary())
