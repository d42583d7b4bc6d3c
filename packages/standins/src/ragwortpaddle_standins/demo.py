"""Starts a whole installation on loopback; ``--stay`` keeps it up until Ctrl-C."""

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
from ragwortpaddle_standins.fleet import EngineShape, Fleet, fetch, wait_until

LAYERS = 12
STAGES = ((0, 4), (4, 8), (8, 12))
REPLICAS = 2
TOKEN = "zurich-token"
PROMPT = "the left pedal of a 1962 machine hums but the motor does not turn"
MAX_TOKENS = 24


def start(fleet: Fleet, objects: Path) -> None:
    """Start every process and publish the objects."""
    fleet.start_platform()
    first = fleet.data_centres[0]
    starts: list[Callable[[], object]] = [partial(fleet.start_service, "parts-1", "parts", first)]
    for replica in range(REPLICAS):
        for stage, layers in enumerate(STAGES):
            name, shape = f"engine-{replica}-{stage}", EngineShape(*layers)
            starts.append(partial(fleet.start_engine, name, "pedal-chat", LAYERS, shape, first))
    for index, data_centre in enumerate(fleet.data_centres):
        starts.append(partial(fleet.start_daemon, f"entry-{index + 1}", data_centre))
    with ThreadPoolExecutor() as starters:
        for started in [starters.submit(start) for start in starts]:
            started.result()
    print(fleet.operate("check", objects), end="")
    print(fleet.operate("apply", objects), end="")
    print(fleet.operate("publish"), end="")
    fleet.wait_ready()


def show_chat(fleet: Fleet) -> bool:
    """Send a streamed chat with the official client and compare it with the model."""
    client = OpenAI(api_key=TOKEN, base_url=f"{fleet.daemons[0].url}/v1", max_retries=0)
    stream = client.chat.completions.create(
        model="pedal-assistant",
        messages=[{"role": "user", "content": PROMPT}],
        max_tokens=MAX_TOKENS,
        stream=True,
    )
    text = "".join(chunk.choices[0].delta.content or "" for chunk in stream if chunk.choices)
    expected = model.render(model.generate(f"user: {PROMPT}", LAYERS, MAX_TOKENS))
    print(f"chat: {text}")
    print(f"chat equals the model run over layers 0 to {LAYERS} once each: {text == expected}")
    return text == expected


def call_service(url: str, method: str, body: bytes | None = None, key: str = "") -> bytes:
    """Call a plain service and print the answer's status."""
    request = urllib.request.Request(url, body, method=method)
    request.add_header("Authorization", f"Bearer {TOKEN}")
    if key:
        request.add_header("Idempotency-Key", key)
    with urllib.request.urlopen(request, timeout=10) as response:
        answer: bytes = response.read()
        replayed = response.headers.get("Ragwortpaddle-Replayed", "no")
        print(f"{method} {url}: {response.status}, replayed {replayed}: {answer.decode()}")
    return answer


def show_services(fleet: Fleet) -> bool:
    """Look something up, and send one order twice under one key through two daemons."""
    first, second = fleet.daemons[:2]
    call_service(f"{first.url}/services/board/lost/gloves", "GET")
    key, order = str(uuid.uuid4()), b'{"part":"resistor","count":2}'
    one = call_service(f"{first.url}/services/orders/new", "POST", order, key)
    two = call_service(f"{second.url}/services/orders/new", "POST", order, key)
    executions = fetch(f"{fleet.processes['parts-1'].url}/executions")
    count = sum(execution["idempotency_key"] == key for execution in executions)
    print(f"executions of the order: {count}")
    return one == two and count == 1


def show_trace(path: Path) -> bool:
    """Print the spans of the chat as a tree."""

    def read() -> list[dict]:  # type: ignore[type-arg]
        spans = [json.loads(line) for line in path.read_text().splitlines()]
        roots = [span for span in spans if span["name"].endswith("/v1/chat/completions")]
        if not roots:
            return []
        trace_id = roots[0]["context"]["trace_id"]
        return [span for span in spans if span["context"]["trace_id"] == trace_id]

    spans = wait_until(read, "trace")

    def show(parent: str | None, depth: int) -> None:
        children = [span for span in spans if span["parent_id"] == parent]
        for span in sorted(children, key=lambda item: item["start_time"])[:8]:
            attributes = {k: v for k, v in span["attributes"].items() if k != "request.id"}
            print(f"{'  ' * depth}{span['name']} {attributes or ''}")
            show(span["context"]["span_id"], depth + 1)
        if len(children) > 8:
            print(f"{'  ' * depth}... and {len(children) - 8} more like the last")

    show(None, 1)
    return bool(spans)


def main(*, objects: Path = Path("examples/workshops.ini"), stay: bool = False) -> None:
    """Run the demonstration.

    :param objects: the operators' objects to publish
    :param stay: keep the installation up until Ctrl-C
    """
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), traces=not stay)
        try:
            start(fleet, objects)
            if stay:
                for process in fleet.processes.values():
                    print(f"{process.name}={process.url}", flush=True)
                threading.Event().wait()
            good = show_chat(fleet)
            good = show_services(fleet) and good
            good = show_trace(Path(folder) / "traces.jsonl") and good
            print(fleet.operate("status"), end="")
        except KeyboardInterrupt:
            good = True
        finally:
            codes = fleet.stop()
        print(f"daemons ended with {sorted(codes.values())}")
    print(f"done in {time.monotonic() - started_at:.1f} s")
    sys.exit(0 if good and not any(codes.values()) else 1)


if __name__ == "__main__":
    defopt.run(main, no_negated_flags=True)
