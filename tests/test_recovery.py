"""Streams continue when pipeline stages crash, freeze, return faulty responses or drain.

Guards against lost, repeated or reordered tokens after a failure, and against poison requests that
crash one endpoint after another through retries.
"""

import threading
import time
from collections.abc import Callable, Iterator

import pytest
from client_helpers import (
    encode_chat_request,
    expected_chat_text,
    openai_client,
    send_request,
    stream_chat,
)
from ragwortpaddle_standins import model
from ragwortpaddle_standins.demo import LAYER_COUNT
from ragwortpaddle_standins.fleet import EngineShape, Fleet, Process, fetch_json, wait_until

LONG_RESPONSE_TOKENS = 250


@pytest.fixture(autouse=True)
def clear_faults(installation: Fleet) -> Iterator[None]:
    yield
    for name, process in installation.processes.items():
        if name.startswith("engine"):
            process.set_faults()


def engines(fleet: Fleet) -> list[Process]:
    return [p for name, p in fleet.processes.items() if name.startswith("engine")]


def busy_engine(fleet: Fleet, stage: int) -> Process:
    """Wait for and return a running engine of a stage that has an open sequence."""

    def find() -> Process | None:
        for engine in engines(fleet):
            runs_stage = engine.name.endswith(f"-{stage}") and engine.popen.poll() is None
            if runs_stage and fetch_json(f"{engine.url}/history")["open_sequences"]:
                return engine
        return None

    return wait_until(find, "a busy engine")


class Stream:
    """A streamed chat in its own thread, which records the longest gap between two chunks."""

    def __init__(self, daemon: Process, prompt: str, max_tokens: int) -> None:
        self.text = ""
        self.longest_gap = 0.0
        self.error: Exception | None = None
        self._daemon, self._prompt, self._max_tokens = daemon, prompt, max_tokens
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self) -> None:
        try:
            stream = openai_client(self._daemon).chat.completions.create(
                model="pedal-assistant",
                messages=[{"role": "user", "content": self._prompt}],
                max_tokens=self._max_tokens,
                stream=True,
            )
            last_chunk_at = time.monotonic()
            for chunk in stream:
                now = time.monotonic()
                self.longest_gap = max(self.longest_gap, now - last_chunk_at)
                last_chunk_at = now
                if chunk.choices:
                    self.text += chunk.choices[0].delta.content or ""
        except Exception as error:
            self.error = error

    def result(self) -> str:
        self._thread.join(60)
        if self.error:
            raise self.error
        return self.text


def check_layer_executions(fleet: Fleet, request_count: int) -> None:
    """Check that no attempt ran a layer twice for any position, and that enough requests ran."""
    seen: set[tuple[str, int, int, int]] = set()
    for engine in engines(fleet):
        if engine.popen.poll() is not None:
            continue
        for item in fetch_json(f"{engine.url}/history")["executions"]:
            for position in range(item["position"], item["position"] + item["count"]):
                for layer in range(item["first_layer"], item["end_layer"]):
                    execution = (item["request"], item["attempt"], position, layer)
                    assert execution not in seen
                    seen.add(execution)
    assert len({execution[0] for execution in seen}) >= request_count


class TestCrashedStage:
    @pytest.mark.parametrize("stage", [0, 1, 2])
    def test_stream_resumes_on_another_endpoint(
        self, new_installation: Callable[..., Fleet], stage: int
    ) -> None:
        fleet = new_installation()
        prompts = [f"crashed stage {stage} stream {index}" for index in range(6)]
        streams = [
            Stream(fleet.daemons[index % 3], prompt, LONG_RESPONSE_TOKENS)
            for index, prompt in enumerate(prompts)
        ]
        busy_engine(fleet, stage).kill()
        for prompt, stream in zip(prompts, streams, strict=True):
            assert stream.result() == expected_chat_text(prompt, LONG_RESPONSE_TOKENS)
        check_layer_executions(fleet, len(prompts))


class TestFrozenStage:
    def test_stream_resumes_on_another_endpoint(
        self, new_installation: Callable[..., Fleet]
    ) -> None:
        fleet = new_installation()
        prompts = [f"frozen stage stream {index}" for index in range(4)]
        streams = [Stream(fleet.daemons[0], prompt, LONG_RESPONSE_TOKENS) for prompt in prompts]
        frozen = busy_engine(fleet, 1)
        frozen.suspend()
        for prompt, stream in zip(prompts, streams, strict=True):
            assert stream.result() == expected_chat_text(prompt, LONG_RESPONSE_TOKENS)
        frozen.resume()
        wait_until(
            lambda: all(
                endpoint["usable"]
                for endpoint in fetch_json(f"{fleet.daemons[0].url}/status")["endpoints"]
            ),
            "the resumed engine is usable again",
        )


class TestFaultyStepResponses:
    @pytest.mark.parametrize("fault", ["duplicate_replies", "crossed_replies", "drop_replies"])
    def test_streamed_text_is_complete(self, installation: Fleet, fault: str) -> None:
        prompts = [f"{fault} {index}" for index in range(4)]
        streams = [Stream(installation.daemons[0], prompt, 60) for prompt in prompts]
        for engine in engines(installation):
            engine.set_faults(**{fault: 1 if fault == "drop_replies" else 5})
        for prompt, stream in zip(prompts, streams, strict=True):
            assert stream.result() == expected_chat_text(prompt, 60)


class TestImplausibleReports:
    @pytest.mark.parametrize(
        "override",
        [{"step_ms": -5.0}, {"active": -1.0}, {"sequences": 1e12}, {"age_ms": 7_200_000.0}],
    )
    def test_are_ignored(self, installation: Fleet, override: dict[str, float]) -> None:
        for engine in engines(installation):
            engine.set_faults(load_override=override)
        for daemon in installation.daemons:
            assert stream_chat(daemon, "implausible reports", 5) == expected_chat_text(
                "implausible reports", 5
            )


class TestLeavingEndpoint:
    def test_receives_no_new_steps_within_seconds(
        self, new_installation: Callable[..., Fleet]
    ) -> None:
        fleet = new_installation()
        # The engine reports it; the platform's VM list lags longer than the test runs.
        leaving = fleet.processes["engine-0-1"]
        fetch_json(f"{leaving.url}/leave", {})

        def leaving_at_every_daemon() -> bool:
            pages = [fetch_json(f"{daemon.url}/status") for daemon in fleet.daemons]
            return all(
                endpoint["leaving"]
                for page in pages
                for endpoint in page["endpoints"]
                if endpoint["name"] == leaving.name
            )

        wait_until(leaving_at_every_daemon, "every daemon sees the endpoint as leaving", 3)
        execution_count = len(fetch_json(f"{leaving.url}/history")["executions"])
        for index in range(10):
            for daemon in fleet.daemons:
                assert stream_chat(daemon, f"after leaving {index}", 2)
        assert len(fetch_json(f"{leaving.url}/history")["executions"]) == execution_count


class TestPoisonRequest:
    def test_is_quarantined_on_every_daemon_while_other_requests_complete(
        self, new_installation: Callable[..., Fleet]
    ) -> None:
        fleet = new_installation()
        for replica in range(2, 6):
            for stage, layers in enumerate(((0, 4), (4, 8), (8, 12))):
                name = f"engine-{replica}-{stage}"
                fleet.start_engine(name, "pedal-chat", LAYER_COUNT, EngineShape(*layers))
        fleet.wait_ready()
        for engine in engines(fleet):
            engine.set_faults(poison="POISON")
        other_prompts = [f"other request {index}" for index in range(6)]
        streams = [
            Stream(fleet.daemons[i % 3], p, LONG_RESPONSE_TOKENS)
            for i, p in enumerate(other_prompts)
        ]
        body = encode_chat_request("a POISON prompt", 5)
        statuses = []
        for attempt in range(6):
            http_response = send_request(fleet.daemons[attempt % 3], "/v1/chat/completions", body)
            statuses.append(http_response.status)
            if http_response.status == 422:
                break
        assert statuses[-1] == 422
        for daemon in fleet.daemons:
            wait_until(
                lambda d=daemon: send_request(d, "/v1/chat/completions", body).status == 422,
                "the request is quarantined at every daemon",
                5,
            )
        crashed = sum(engine.popen.poll() is not None for engine in engines(fleet))
        assert crashed <= 3
        for prompt, stream in zip(other_prompts, streams, strict=True):
            assert stream.result() == expected_chat_text(prompt, LONG_RESPONSE_TOKENS)
        for prompt in other_prompts:
            assert stream_chat(fleet.daemons[0], prompt, 3) == expected_chat_text(prompt, 3)
        assert "quarantined" in fleet.run_cli("status")


class TestReferenceModel:
    def test_skipped_or_repeated_layer_changes_the_output(self) -> None:
        values, outputs = model.step_layers([0] * 4, 0, [7])
        _, skipped = model.step_layers([0] * 3, 0, [7])
        _, repeated = model.step_layers(values, 0, [7])
        assert len({outputs[0], skipped[0], repeated[0]}) == 3
