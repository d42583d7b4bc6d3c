"""Orders to engines under a lease, and the signals and explanations for operators."""

from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from client_helpers import encode_chat_request, send_request
from ragwortpaddle_standins.demo import LAYER_COUNT
from ragwortpaddle_standins.fleet import EngineShape, Fleet, Process, fetch_json, wait_until

REPLICAS = 3


@pytest.fixture(params=["checked", "ignored"])
def fleet(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[Fleet]:
    with Fleet(tmp_path / "fleet", ("dc-a",) * 3) as fleet:
        fleet.start_platform()
        for index in range(REPLICAS):
            fleet.start_engine(
                f"engine-{index}",
                "pedal-chat",
                LAYER_COUNT,
                EngineShape(0, LAYER_COUNT),
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
        text = f"[pool:pedal-chat]\nserves = model\nmodel = pedal-chat\nlayers = {LAYER_COUNT}\n"
        text += f"version = {version}\nfencing = {fencing}\n[priority:normal]\nlevel = 5\n"
        text += "[route:pedal-assistant]\npool = pedal-chat\npriority = normal\n"
        text += "[team:zurich]\ntoken_sha256 = "
        objects = (Path(__file__).parent.parent / "examples/workshops.ini").read_text()
        text += objects.split("[team:zurich]\ntoken_sha256 = ")[1].split()[0] + "\n"
    else:
        text = fleet.run_cli("get", "--kind", "pool")
        lines = [
            f"version = {version}" if line.startswith("version =") else line
            for line in text.split("\n")
        ]
        text = "\n".join(lines)
    path.write_text(text)
    fleet.publish(path)


def engines(fleet: Fleet) -> list[Process]:
    return [process for name, process in fleet.processes.items() if name.startswith("engine")]


def all_report_version(fleet: Fleet, version: str) -> bool:
    return all(
        fetch_json(f"{engine.url}/v1/status")["version"] == version for engine in engines(fleet)
    )


def accepted_orders(fleet: Fleet) -> list[list[dict]]:
    return [fetch_json(f"{engine.url}/history")["orders"] for engine in engines(fleet)]


def assert_fencing_tokens_never_decrease(fleet: Fleet) -> None:
    for orders in accepted_orders(fleet):
        fencing_tokens = [order["fencing"] for order in orders]
        assert fencing_tokens == sorted(fencing_tokens)


class TestOrders:
    def test_every_engine_reaches_the_version_after_one_order(self, fleet: Fleet) -> None:
        publish_version(fleet, "2")
        wait_until(lambda: all_report_version(fleet, "2"), "every engine reports version 2")
        assert [len(orders) for orders in accepted_orders(fleet)] == [1] * REPLICAS
        assert_fencing_tokens_never_decrease(fleet)

    def test_frozen_lease_holder_is_replaced_and_no_stale_order_is_accepted(
        self, fleet: Fleet
    ) -> None:
        publish_version(fleet, "2")
        wait_until(lambda: any(accepted_orders(fleet)), "an engine has accepted the first order")
        lease_holder = fetch_lease_holder(fleet)
        holder = next(
            daemon for daemon in fleet.daemons if lease_holder.startswith(f"{daemon.name}/")
        )
        holder.suspend()
        wait_until(lambda: all_report_version(fleet, "2"), "another daemon completes version 2")
        publish_version(fleet, "3")
        wait_until(lambda: all_report_version(fleet, "3"), "every engine reports version 3")
        holder.resume()
        wait_until(
            lambda: fetch_json(f"{holder.url}/status")["release"] == 3,
            "the previous lease holder has release 3",
        )
        assert all_report_version(fleet, "3")
        assert_fencing_tokens_never_decrease(fleet)


def fetch_lease_holder(fleet: Fleet) -> str:
    import json

    leases = fetch_json(f"{fleet.platform.url}/objects?prefix=leases/")["objects"]
    return json.loads(leases[0]["value"])["holder"]


class TestLastReplica:
    def test_last_serving_replica_gets_no_order(self, fleet: Fleet) -> None:
        for engine in engines(fleet)[1:]:
            engine.kill()
        last_engine = engines(fleet)[0]
        wait_until(
            lambda: all(
                sum(engine["serving"] for engine in fetch_json(f"{daemon.url}/status")["endpoints"])
                == 1
                for daemon in fleet.daemons
            ),
            "one endpoint is serving in every view",
        )
        publish_version(fleet, "2")
        http_response = send_request(
            fleet.daemons[0], "/v1/chat/completions", encode_chat_request("still served", 300)
        )
        assert http_response.status == 200
        assert fetch_json(f"{last_engine.url}/history")["orders"] == []


class TestSignals:
    def test_pool_not_served_raises_one_signal_that_clears(
        self, new_installation: Callable[..., Fleet]
    ) -> None:
        fleet = new_installation()
        service = fleet.processes["parts-1"]
        assert "signal" not in fleet.run_cli("status")
        service.suspend()
        wait_until(
            lambda: fleet.run_cli("status").count("signal pool_not_served on parts") == 1,
            "the signal is raised",
        )
        assert "start endpoints" in fleet.run_cli("explain", "parts")
        service.resume()
        wait_until(lambda: "signal" not in fleet.run_cli("status"), "the signal is cleared")

    def test_explain_shows_the_attempts_of_a_request(
        self, new_installation: Callable[..., Fleet]
    ) -> None:
        fleet = new_installation()
        http_response = send_request(
            fleet.daemons[1], "/v1/chat/completions", encode_chat_request("explain me", 3)
        )
        output = fleet.run_cli("explain", http_response.headers["Ragwortpaddle-Request-Id"])
        assert "team zurich, status 200" in output
        assert "attempt 1 over engine" in output
        assert "no daemon knows" in fleet.run_cli("explain", "nothing", expect=1)
