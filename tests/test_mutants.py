"""Each test shows the failure of a daemon from which one guard was removed (tests/mutants.py)."""

import threading
from collections.abc import Iterator
from pathlib import Path

import openai
import pytest
from client_helpers import expected_chat_text, send_request, stream_chat
from ragwortpaddle_standins import demo
from ragwortpaddle_standins.fleet import Fleet, fetch_json, wait_until
from test_operations import execution_count, run_orders_that_the_store_loses, send_order

OBJECTS_PATH = Path(__file__).parent.parent / "examples" / "workshops.ini"
MUTANTS_DIRECTORY = Path(__file__).parent


@pytest.fixture
def mutated_fleet(
    request: pytest.FixtureRequest, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> Iterator[Fleet]:
    monkeypatch.setenv("PYTHONPATH", str(MUTANTS_DIRECTORY))
    with Fleet(tmp_path / "fleet", daemon_module=("mutants", request.param)) as fleet:
        demo.start_installation(fleet, OBJECTS_PATH)
        yield fleet


class TestMutants:
    @pytest.mark.parametrize("mutated_fleet", ["rerun_in_doubt"], indirect=True)
    def test_granting_attempts_in_doubt_executes_a_key_again(self, mutated_fleet: Fleet) -> None:
        service = mutated_fleet.processes["parts-1"]
        service.set_faults(delay_ms=300)
        threads = [
            threading.Thread(
                target=send_request,
                args=(daemon, "/services/orders/new", b"{}"),
                kwargs={"idempotency_key": "k"},
            )
            for daemon in mutated_fleet.daemons
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        executions = fetch_json(f"{service.url}/executions")
        assert sum(item["idempotency_key"] == "k" for item in executions) > 1

    @pytest.mark.parametrize("mutated_fleet", ["accept_any_result"], indirect=True)
    def test_accepting_results_of_other_steps_corrupts_the_text(self, mutated_fleet: Fleet) -> None:
        for name, process in mutated_fleet.processes.items():
            if name.startswith("engine"):
                process.set_faults(crossed_replies=40)
        try:
            text = stream_chat(mutated_fleet.daemons[0], "crossed", 40)
        except openai.APIError:
            return
        assert text != expected_chat_text("crossed", 40)

    @pytest.mark.parametrize("mutated_fleet", ["say_not_run"], indirect=True)
    def test_executed_operation_is_reported_as_not_run(self, mutated_fleet: Fleet) -> None:
        mutated_fleet.processes["parts-1"].set_faults(drop_after=1)
        http_response = send_request(
            mutated_fleet.daemons[0], "/services/orders/new", b"{}", idempotency_key="lost"
        )
        executions = fetch_json(f"{mutated_fleet.processes['parts-1'].url}/executions")
        assert http_response.executed == "no"
        assert [item["idempotency_key"] for item in executions] == ["lost"]

    @pytest.mark.parametrize("mutated_fleet", ["grant_while_records_are_missing"], indirect=True)
    def test_granting_while_records_are_missing_executes_a_key_again(
        self, mutated_fleet: Fleet
    ) -> None:
        keys = run_orders_that_the_store_loses(mutated_fleet, mutated_fleet.daemons[:1], 8)
        holder, writer, other = mutated_fleet.daemons
        writer.kill()
        holder.suspend()
        fetch_json(f"{mutated_fleet.platform.url}/restore", {})
        for key in keys:
            wait_until(lambda k=key: send_order(other, k).status == 200, "the order is accepted")
        holder.resume()
        assert any(execution_count(mutated_fleet, key) > 1 for key in keys)
