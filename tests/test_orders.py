"""Orders to engines under a lease, and the signals and explanations for operators."""

from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from callers import chat_body, send
from ragwortpaddle_standins.demo import LAYERS
from ragwortpaddle_standins.fleet import EngineShape, Fleet, Process, fetch, wait_until

REPLICAS = 3


@pytest.fixture(params=["checked", "ignored"])
def fleet(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[Fleet]:
    with Fleet(tmp_path / "fleet", ("dc-a",) * 3) as fleet:
        fleet.start_platform()
        for index in range(REPLICAS):
            fleet.start_engine(
                f"engine-{index}",
                "pedal-chat",
                LAYERS,
                EngineShape(0, LAYERS),
                ignore_fencing=request.param == "ignored",
            )
        for index in range(3):
            fleet.start_daemon(f"entry-{index + 1}")
        publish_version(fleet, "1", request.param)
        fleet.wait_ready()
        yield fleet


def publish_version(fleet: Fleet, version: str, fencing: str = "") -> None:
    path = fleet.directory / "pool.ini"
    if fencing:
        text = f"[pool:pedal-chat]\nserves = model\nmodel = pedal-chat\nlayers = {LAYERS}\n"
        text += f"version = {version}\nfencing = {fencing}\n[priority:normal]\nlevel = 5\n"
        text += "[route:pedal-assistant]\npool = pedal-chat\npriority = normal\n"
        text += "[team:zurich]\ntoken_sha256 = "
        objects = (Path(__file__).parent.parent / "examples/workshops.ini").read_text()
        text += objects.split("[team:zurich]\ntoken_sha256 = ")[1].split()[0] + "\n"
    else:
        text = fleet.operate("get", "--kind", "pool")
        lines = [
            f"version = {version}" if x.startswith("version =") else x for x in text.split("\n")
        ]
        text = "\n".join(lines)
    path.write_text(text)
    fleet.publish(path)


def engines(fleet: Fleet) -> list[Process]:
    return [p for name, p in fleet.processes.items() if name.startswith("engine")]


def all_at(fleet: Fleet, version: str) -> bool:
    return all(fetch(f"{e.url}/v1/status")["version"] == version for e in engines(fleet))


def orders(fleet: Fleet) -> list[list[dict]]:
    return [fetch(f"{engine.url}/history")["orders"] for engine in engines(fleet)]


def check_fencing(fleet: Fleet) -> None:
    for taken in orders(fleet):
        numbers = [order["fencing"] for order in taken]
        assert numbers == sorted(numbers)


class TestOrders:
    def test_engines_reach_the_version_with_one_order_each(self, fleet: Fleet) -> None:
        publish_version(fleet, "2")
        wait_until(lambda: all_at(fleet, "2"), "every engine is at version 2")
        assert [len(taken) for taken in orders(fleet)] == [1] * REPLICAS
        check_fencing(fleet)

    def test_holder_frozen_past_its_lease(self, fleet: Fleet) -> None:
        publish_version(fleet, "2")
        wait_until(lambda: any(orders(fleet)), "the first order")
        lease = fetch_lease(fleet)
        holder = next(d for d in fleet.daemons if lease.startswith(f"{d.name}/"))
        holder.freeze()
        wait_until(lambda: all_at(fleet, "2"), "a successor goes on")
        publish_version(fleet, "3")
        wait_until(lambda: all_at(fleet, "3"), "the successor orders version 3")
        holder.thaw()
        wait_until(
            lambda: fetch(f"{holder.url}/status")["release"] == 3, "the old holder is up to date"
        )
        assert all_at(fleet, "3")
        check_fencing(fleet)


def fetch_lease(fleet: Fleet) -> str:
    import json

    listed = fetch(f"{fleet.platform.url}/objects?prefix=leases/")["objects"]
    return json.loads(listed[0]["value"])["holder"]


class TestLastReplica:
    def test_is_never_taken(self, fleet: Fleet) -> None:
        for engine in engines(fleet)[1:]:
            engine.kill()
        left = engines(fleet)[0]
        wait_until(
            lambda: all(
                sum(e["serving"] for e in fetch(f"{d.url}/status")["endpoints"]) == 1
                for d in fleet.daemons
            ),
            "one is left",
        )
        publish_version(fleet, "2")
        reply = send(fleet.daemons[0], "/v1/chat/completions", chat_body("still served", 300))
        assert reply.status == 200
        assert fetch(f"{left.url}/history")["orders"] == []


class TestSignals:
    def test_pool_that_is_not_served_is_one_signal_and_clears(
        self, new_installation: Callable[..., Fleet]
    ) -> None:
        fleet = new_installation()
        service = fleet.processes["parts-1"]
        assert "signal" not in fleet.operate("status")
        service.freeze()
        wait_until(
            lambda: fleet.operate("status").count("signal pool_not_served on parts") == 1, "raised"
        )
        assert "start endpoints" in fleet.operate("explain", "parts")
        service.thaw()
        wait_until(lambda: "signal" not in fleet.operate("status"), "cleared")

    def test_request_is_explained(self, new_installation: Callable[..., Fleet]) -> None:
        fleet = new_installation()
        reply = send(fleet.daemons[1], "/v1/chat/completions", chat_body("explain me", 3))
        told = fleet.operate("explain", reply.headers["Ragwortpaddle-Request-Id"])
        assert "team zurich, status 200" in told
        assert "attempt 1 over engine" in told
        assert "no daemon knows" in fleet.operate("explain", "nothing", expect=1)
