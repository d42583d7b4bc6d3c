"""Demonstrates a whole installation on loopback; ``--stay`` keeps it running until Ctrl-C."""

import json
import sys
import tempfile
import threading
import time
import urllib.request
import uuid
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path

import defopt
from openai import OpenAI

from ragwortpaddle_standins import model
from ragwortpaddle_standins.fleet import EngineShape, Fleet, fetch_json, wait_until

LAYER_COUNT = 12
LAYER_RANGES = ((0, 4), (4, 8), (8, 12))
REPLICAS = 2
API_TOKEN = "zurich-token"
PROMPT = "the left pedal of a 1962 machine hums but the motor does not turn"
MAX_TOKENS = 24


def start_installation(fleet: Fleet, objects: Path) -> None:
    """Start every process, publish the objects and wait until all daemons are ready."""
    fleet.start_platform()
    first_data_centre = fleet.data_centres[0]
    start_calls: list[Callable[[], object]] = [
        partial(fleet.start_service, "parts-1", "parts", first_data_centre)
    ]
    for replica in range(REPLICAS):
        for stage, layers in enumerate(LAYER_RANGES):
            name, shape = f"engine-{replica}-{stage}", EngineShape(*layers)
            start_calls.append(
                partial(
                    fleet.start_engine, name, "pedal-chat", LAYER_COUNT, shape, first_data_centre
                )
            )
    for index, data_centre in enumerate(fleet.data_centres):
        start_calls.append(partial(fleet.start_daemon, f"entry-{index + 1}", data_centre))
    with ThreadPoolExecutor() as executor:
        for future in [executor.submit(start_call) for start_call in start_calls]:
            future.result()
    print(fleet.run_cli("check", objects), end="")
    print(fleet.run_cli("apply", objects), end="")
    print(fleet.run_cli("publish"), end="")
    fleet.wait_ready()


def show_chat(fleet: Fleet) -> bool:
    """Stream a chat with the OpenAI client; return whether it matches the reference model."""
    client = OpenAI(api_key=API_TOKEN, base_url=f"{fleet.daemons[0].url}/v1", max_retries=0)
    stream = client.chat.completions.create(
        model="pedal-assistant",
        messages=[{"role": "user", "content": PROMPT}],
        max_tokens=MAX_TOKENS,
        stream=True,
    )
    text = "".join(chunk.choices[0].delta.content or "" for chunk in stream if chunk.choices)
    expected = model.render(model.generate(f"user: {PROMPT}", LAYER_COUNT, MAX_TOKENS))
    print(f"chat: {text}")
    print(
        f"chat equals the reference run of layers 0 to {LAYER_COUNT}, once each: {text == expected}"
    )
    return text == expected


def call_service(url: str, method: str, body: bytes | None = None, key: str = "") -> bytes:
    """Call a plain service, print the response and return its body."""
    request = urllib.request.Request(url, body, method=method)
    request.add_header("Authorization", f"Bearer {API_TOKEN}")
    if key:
        request.add_header("Idempotency-Key", key)
    with urllib.request.urlopen(request, timeout=10) as response:
        content: bytes = response.read()
        replayed = response.headers.get("Ragwortpaddle-Replayed", "no")
        print(f"{method} {url}: {response.status}, replayed {replayed}: {content.decode()}")
    return content


def show_services(fleet: Fleet) -> bool:
    """Make a safe call, then send an order twice with one idempotency key through two daemons.

    Return whether the order was executed once and both responses were equal.
    """
    first_daemon, second_daemon = fleet.daemons[:2]
    call_service(f"{first_daemon.url}/services/board/lost/gloves", "GET")
    key, order = str(uuid.uuid4()), b'{"part":"resistor","count":2}'
    first_response = call_service(f"{first_daemon.url}/services/orders/new", "POST", order, key)
    second_response = call_service(f"{second_daemon.url}/services/orders/new", "POST", order, key)
    executions = fetch_json(f"{fleet.processes['parts-1'].url}/executions")
    execution_count = sum(execution["idempotency_key"] == key for execution in executions)
    print(f"executions of the order: {execution_count}")
    return first_response == second_response and execution_count == 1


def show_trace(path: Path) -> bool:
    """Print the spans of the chat as a tree and return whether there were any."""

    def read_chat_spans() -> list[dict]:  # type: ignore[type-arg]
        spans = [json.loads(line) for line in path.read_text().splitlines()]
        roots = [span for span in spans if span["name"].endswith("/v1/chat/completions")]
        if not roots:
            return []
        trace_id = roots[0]["context"]["trace_id"]
        return [span for span in spans if span["context"]["trace_id"] == trace_id]

    spans = wait_until(read_chat_spans, "the trace of the chat")

    def print_children(parent_id: str | None, depth: int) -> None:
        children = [span for span in spans if span["parent_id"] == parent_id]
        for span in sorted(children, key=lambda item: item["start_time"])[:8]:
            attributes = {k: v for k, v in span["attributes"].items() if k != "request.id"}
            print(f"{'  ' * depth}{span['name']} {attributes or ''}")
            print_children(span["context"]["span_id"], depth + 1)
        if len(children) > 8:
            print(f"{'  ' * depth}... and {len(children) - 8} more spans")

    print_children(None, 1)
    return bool(spans)


def main(*, objects: Path = Path("examples/workshops.ini"), stay: bool = False) -> None:
    """Run the demonstration.

    :param objects: file with the operators' objects to publish
    :param stay: keep the installation running until Ctrl-C
    """
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), traces=not stay)
        try:
            start_installation(fleet, objects)
            if stay:
                for process in fleet.processes.values():
                    print(f"{process.name}={process.url}", flush=True)
                threading.Event().wait()
            succeeded = show_chat(fleet)
            succeeded = show_services(fleet) and succeeded
            succeeded = show_trace(Path(folder) / "traces.jsonl") and succeeded
            print(fleet.run_cli("status"), end="")
        except KeyboardInterrupt:
            succeeded = True
        finally:
            exit_code_by_name = fleet.stop()
        print(f"daemon exit codes: {sorted(exit_code_by_name.values())}")
    print(f"done in {time.monotonic() - started_at:.1f} s")
    sys.exit(0 if succeeded and not any(exit_code_by_name.values()) else 1)


if __name__ == "__main__":
    defopt.run(main, no_negated_flags=True)
