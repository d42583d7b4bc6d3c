"""The proofs can fail: each finds a daemon whose guard was taken out."""

import threading
from collections.abc import Iterator
from pathlib import Path

import openai
import pytest
from callers import expected_chat, send, stream_chat
from ragwortpaddle_standins import demo
from ragwortpaddle_standins.fleet import Fleet, fetch

OBJECTS = Path(__file__).parent.parent / "examples" / "workshops.ini"
MUTANTS = Path(__file__).parent


@pytest.fixture
def mutated(
    request: pytest.FixtureRequest, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> Iterator[Fleet]:
    monkeypatch.setenv("PYTHONPATH", str(MUTANTS))
    with Fleet(tmp_path / "fleet", daemon_module=("mutants", request.param)) as fleet:
        demo.start(fleet, OBJECTS)
        yield fleet


class TestMutants:
    @pytest.mark.parametrize("mutated", ["rerun_in_doubt"], indirect=True)
    def test_an_attempt_in_doubt_runs_again(self, mutated: Fleet) -> None:
        service = mutated.processes["parts-1"]
        service.faults(delay_ms=300)
        threads = [
            threading.Thread(
                target=send, args=(d, "/services/orders/new", b"{}"), kwargs={"key": "k"}
            )
            for d in mutated.daemons
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        executions = fetch(f"{service.url}/executions")
        assert sum(item["idempotency_key"] == "k" for item in executions) > 1

    @pytest.mark.parametrize("mutated", ["accept_any_result"], indirect=True)
    def test_a_crossed_reply_spoils_an_answer(self, mutated: Fleet) -> None:
        for name, process in mutated.processes.items():
            if name.startswith("engine"):
                process.faults(crossed_replies=40)
        try:
            text = stream_chat(mutated.daemons[0], "crossed", 40)
        except openai.APIError:
            return
        assert text != expected_chat("crossed", 40)

    @pytest.mark.parametrize("mutated", ["say_not_run"], indirect=True)
    def test_a_lost_answer_is_called_not_run(self, mutated: Fleet) -> None:
        mutated.processes["parts-1"].faults(drop_after=1)
        reply = send(mutated.daemons[0], "/services/orders/new", b"{}", key="lost")
        executions = fetch(f"{mutated.processes['parts-1'].url}/executions")
        assert reply.executed == "no"
        assert [item["idempotency_key"] for item in executions] == ["lost"]
