"""Runs an installation under seeded faults and checks the recorded history for violations.

``python tests/history.py SEED ROUNDS [MODULE ARGUMENT]`` prints a summary and all violations found.
MODULE replaces the module of the daemons: ``mutants GUARD``, with tests/ in PYTHONPATH.
"""

import http.client
import json
import random
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request
import uuid
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

from client_helpers import encode_chat_request, expected_chat_text
from ragwortpaddle_standins import demo
from ragwortpaddle_standins.demo import API_TOKEN, LAYER_COUNT, LAYER_RANGES
from ragwortpaddle_standins.fleet import (
    EngineShape,
    Fleet,
    Process,
    fetch_json,
    wait_until,
)

OBJECTS_PATH = Path(__file__).parent.parent / "examples" / "workshops.ini"
ROUND_SECONDS = 6.0
OPERATION_CALLER_COUNT = 4
CHAT_CALLER_COUNT = 4
MAX_REQUESTS_PER_OPERATION = 3
ANSWER_TOKENS = 60
REPEATED_OPERATIONS = 60  # right after a restore of the store, and once more later


@dataclass(frozen=True)
class OperationResponse:
    """The response to one request for an operation; status 0 stands for a broken connection."""

    key: str
    request_id: str
    status: int
    executed: str
    body: str


@dataclass(frozen=True)
class ServiceExecution:
    """One execution of an operation, as the service recorded it."""

    key: str
    request_id: str
    body: str


@dataclass(frozen=True)
class ChatResponse:
    """One streamed chat: the text received, and whether the end marker arrived."""

    prompt: str
    text: str
    complete: bool
    refused: bool


@dataclass(frozen=True)
class LayerRun:
    """One token position computed by one layer, as an engine recorded it."""

    request: str
    attempt: int
    position: int
    layer: int


@dataclass
class History:
    """Everything recorded in a run; releases by daemon process are in the order of observation."""

    operation_responses: list[OperationResponse] = field(default_factory=list)
    service_executions: list[ServiceExecution] = field(default_factory=list)
    chat_responses: list[ChatResponse] = field(default_factory=list)
    layer_runs: list[LayerRun] = field(default_factory=list)
    releases_by_process: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    count_by_fault: Counter[str] = field(default_factory=Counter)


def find_violations(history: History) -> list[str]:
    """Return a description of every violation.

    Checks that no key runs twice, that no request reported as not run has run, that responses match
    the execution, that chats are prefixes of the expected text and complete ones equal it, that no
    attempt runs a position through a layer twice, and that no daemon process returns to an older
    release.
    """
    violations = []
    execution_count_by_key = Counter(execution.key for execution in history.service_executions)
    violations += [f"key {key} ran {n} times" for key, n in execution_count_by_key.items() if n > 1]
    executed_request_ids = {execution.request_id for execution in history.service_executions}
    for response in history.operation_responses:
        if response.executed == "no" and response.request_id in executed_request_ids:
            violations.append(f"request {response.request_id} was told not to have run, but ran")
    body_by_key = {execution.key: execution.body for execution in history.service_executions}
    for response in history.operation_responses:
        if response.status == 200 and response.body != body_by_key.get(response.key):
            violations.append(f"key {response.key} was answered {response.body!r}")
    for chat in history.chat_responses:
        expected = expected_chat_text(chat.prompt, ANSWER_TOKENS)
        if chat.complete and chat.text != expected:
            violations.append(f"chat {chat.prompt!r} got another text")
        if not expected.startswith(chat.text):
            violations.append(f"chat {chat.prompt!r} got a piece that is not its own")
    count_by_run = Counter(history.layer_runs)
    violations += [f"{run} ran {n} times" for run, n in count_by_run.items() if n > 1]
    for process, releases in history.releases_by_process.items():
        if releases != sorted(releases):
            violations.append(f"daemon {process} went back: {releases}")
    return violations


class HistoryRun:
    """Runs rounds of callers, operators and faults against one installation."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.history = History()
        self._fleet = fleet
        self._random = random.Random(seed)
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._execution_by_sequence: dict[int, ServiceExecution] = {}

    def run_round(self, round_number: int) -> None:
        """Run callers, operators and faults concurrently, then clear faults and collect records."""
        self._stop.clear()
        actions: list[Callable[[], None]] = [self._poll_releases, self._publish_concurrently]
        for index in range(OPERATION_CALLER_COUNT):
            actions.append(self._make_caller(self._operate, round_number, index))
        for index in range(CHAT_CALLER_COUNT):
            actions.append(self._make_caller(self._chat, round_number, index))
        threads = [threading.Thread(target=action) for action in actions]
        for thread in threads:
            thread.start()
        self._inject_faults()
        self._stop.set()
        for thread in threads:
            thread.join()
        self._collect_layer_runs()
        self._clear_faults()
        self._collect_service_executions()

    def _make_caller(
        self, send: Callable[[random.Random, str], None], round_number: int, index: int
    ) -> Callable[[], None]:
        caller_random = random.Random(self._random.random())

        def run() -> None:
            count = 0
            while not self._stop.is_set():
                count += 1
                send(caller_random, f"{send.__name__}-{round_number}-{index}-{count}")

        return run

    def _operate(self, caller_random: random.Random, key: str) -> None:
        for _ in range(1 + caller_random.randrange(MAX_REQUESTS_PER_OPERATION)):
            daemon = caller_random.choice(self._fleet.daemons)
            response = self._send_operation(daemon, key)
            with self._lock:
                self.history.operation_responses.append(response)
            time.sleep(caller_random.uniform(0, 0.05))

    def _send_operation(self, daemon: Process, key: str) -> OperationResponse:
        body = json.dumps({"key": key}).encode()
        request = urllib.request.Request(f"{daemon.url}/services/orders/new", body, method="POST")
        request.add_header("Authorization", f"Bearer {API_TOKEN}")
        request.add_header("Idempotency-Key", key)
        try:
            with urllib.request.urlopen(request, timeout=15) as response:
                headers, status, text = response.headers, response.status, response.read()
        except urllib.error.HTTPError as error:
            headers, status, text = error.headers, error.code, error.read()
        except (OSError, http.client.HTTPException):
            return OperationResponse(key, "", 0, "", "")
        return OperationResponse(
            key,
            headers.get("Ragwortpaddle-Request-Id", ""),
            status,
            headers.get("Ragwortpaddle-Executed", ""),
            text.decode(),
        )

    def _chat(self, caller_random: random.Random, prompt: str) -> None:
        daemon = caller_random.choice(self._fleet.daemons)
        body = encode_chat_request(prompt, ANSWER_TOKENS, stream=True)
        request = urllib.request.Request(f"{daemon.url}/v1/chat/completions", body, method="POST")
        request.add_header("Authorization", f"Bearer {API_TOKEN}")
        text_parts, complete, refused = [], False, False
        try:
            with urllib.request.urlopen(request, timeout=20) as response:
                for line in response:
                    if line == b"data: [DONE]\n":
                        complete = True
                    elif line.startswith(b"data: "):
                        event = json.loads(line.removeprefix(b"data: "))
                        for choice in event.get("choices", ()):
                            text_parts.append(choice["delta"].get("content") or "")
        except urllib.error.HTTPError:
            refused = True
        except (OSError, ValueError, http.client.HTTPException):
            complete = False
        with self._lock:
            self.history.chat_responses.append(
                ChatResponse(prompt, "".join(text_parts), complete, refused)
            )

    def _poll_releases(self) -> None:
        while not self._stop.is_set():
            for daemon in self._fleet.daemons:
                try:
                    release = fetch_json(f"{daemon.url}/status")["release"]
                except (OSError, ValueError, http.client.HTTPException):
                    continue
                process = f"{daemon.name}/{daemon.popen.pid}"
                self.history.releases_by_process[process].append(release)
            time.sleep(0.05)

    def _publish_concurrently(self) -> None:
        while not self._stop.is_set():
            publishers = [
                threading.Thread(target=lambda: self._fleet.run_cli("publish", expect=None))
                for _ in range(2)
            ]
            for publisher in publishers:
                publisher.start()
            for publisher in publishers:
                publisher.join()

    def _inject_faults(self) -> None:
        faults = [
            self._kill_daemon,
            self._freeze_daemon,
            self._kill_engine,
            self._freeze_engine,
            self._store_outage,
            self._slow_store,
            self._lose_replies,
            self._late_writes,
            self._restore_store,
            self._drop_answers,
            self._slow_service,
            self._stray_replies,
        ]
        deadline = time.monotonic() + ROUND_SECONDS
        while time.monotonic() < deadline:
            time.sleep(self._random.uniform(0.1, 0.5))
            fault = self._random.choice(faults)
            self.history.count_by_fault[fault.__name__.lstrip("_")] += 1
            fault()

    def _engines(self) -> list[Process]:
        names = sorted(n for n in self._fleet.processes if n.startswith("engine"))
        return [self._fleet.processes[name] for name in names]

    def _kill_daemon(self) -> None:
        daemon = self._random.choice(self._fleet.daemons)
        settings = (self._fleet.directory / f"{daemon.name}.ini").read_text()
        data_centre = settings.split("data_centre = ")[1].split()[0]
        daemon.kill()
        time.sleep(self._random.uniform(0, 0.5))
        self._fleet.start_daemon(daemon.name, data_centre, wait=False)

    def _freeze_daemon(self) -> None:
        daemon = self._random.choice(self._fleet.daemons)
        daemon.suspend()
        time.sleep(self._random.uniform(0.3, 2.5))
        daemon.resume()

    def _kill_engine(self) -> None:
        engine = self._random.choice(self._engines())
        self._collect_engine_layer_runs(engine)
        engine.kill()
        time.sleep(self._random.uniform(0, 0.3))
        self._restart_engine(engine)

    def _restart_engine(self, engine: Process) -> None:
        stage = int(engine.name.rsplit("-", 1)[1])
        shape = EngineShape(*LAYER_RANGES[stage])
        self._fleet.start_engine(
            engine.name, "pedal-chat", LAYER_COUNT, shape, "dc-a", address=engine.address
        )

    def _freeze_engine(self) -> None:
        engine = self._random.choice(self._engines())
        engine.suspend()
        time.sleep(self._random.uniform(0.2, 1.5))
        engine.resume()

    def _store_outage(self) -> None:
        self._fleet.platform.set_faults(outage=True)
        time.sleep(self._random.uniform(0.2, 1.5))
        self._fleet.platform.set_faults()

    def _slow_store(self) -> None:
        self._fleet.platform.set_faults(delay_ms=self._random.randrange(20, 400))
        time.sleep(self._random.uniform(0.2, 1.0))
        self._fleet.platform.set_faults()

    def _lose_replies(self) -> None:
        self._fleet.platform.set_faults(lose_replies=self._random.randrange(1, 4))

    def _late_writes(self) -> None:
        delay_ms = self._random.randrange(900, 2500)
        self._fleet.platform.set_faults(lose_replies=2, late_writes_ms=delay_ms)

    def _restore_store(self) -> None:
        """Restore the store from a copy, also after one daemon has ended.

        A record is lost if two daemons end before it has been written again, so the next fault
        waits until operations are accepted.
        """
        fetch_json(f"{self._fleet.platform.url}/copy", {})
        time.sleep(self._random.uniform(0.2, 2.0))
        if self._random.random() < 0.5:
            self._kill_daemon()
        fetch_json(f"{self._fleet.platform.url}/restore", {})
        self._repeat_answered_operations()
        for daemon in self._fleet.daemons:
            wait_until(partial(self._accepts_operations, daemon), "operations are accepted")
        self._repeat_answered_operations()

    def _repeat_answered_operations(self) -> None:
        with self._lock:
            answered = [r.key for r in self.history.operation_responses if r.status == 200]
        for key in answered[-REPEATED_OPERATIONS:]:
            response = self._send_operation(self._random.choice(self._fleet.daemons), key)
            with self._lock:
                self.history.operation_responses.append(response)

    def _accepts_operations(self, daemon: Process) -> bool:
        return self._send_operation(daemon, str(uuid.uuid4())).status == 200

    def _drop_answers(self) -> None:
        fault = self._random.choice(["drop_before", "drop_after"])
        self._fleet.processes["parts-1"].set_faults(**{fault: self._random.randrange(1, 4)})

    def _slow_service(self) -> None:
        self._fleet.processes["parts-1"].set_faults(delay_ms=self._random.randrange(50, 600))

    def _stray_replies(self) -> None:
        fault = self._random.choice(["duplicate_replies", "crossed_replies", "drop_replies"])
        self._random.choice(self._engines()).set_faults(**{fault: 2})

    def _clear_faults(self) -> None:
        self._fleet.platform.set_faults()
        self._fleet.processes["parts-1"].set_faults()
        for engine in self._engines():
            engine.set_faults()
        for process in self._fleet.processes.values():
            process.resume()
        self._fleet.wait_ready()

    def _collect_layer_runs(self) -> None:
        for engine in self._engines():
            self._collect_engine_layer_runs(engine)

    def _collect_engine_layer_runs(self, engine: Process) -> None:
        """Record an engine's new layer runs; duplicates are recorded again so that they show."""
        recorded = set(self.history.layer_runs)
        fetched = []
        for item in fetch_json(f"{engine.url}/history")["executions"]:
            for position in range(item["position"], item["position"] + item["count"]):
                for layer in range(item["first_layer"], item["end_layer"]):
                    fetched.append(LayerRun(item["request"], item["attempt"], position, layer))
        duplicated = [run for run, count in Counter(fetched).items() if count > 1]
        self.history.layer_runs += [run for run in fetched if run not in recorded] + duplicated

    def _collect_service_executions(self) -> None:
        service_executions = fetch_json(f"{self._fleet.processes['parts-1'].url}/executions")
        for item in service_executions:
            response_body = {k: item[k] for k in ("sequence", "path")} | {"echo": item["body"]}
            body = json.dumps(response_body, separators=(",", ":"))
            execution = ServiceExecution(item["idempotency_key"], item["request"], body)
            self._execution_by_sequence[item["sequence"]] = execution
        self.history.service_executions = list(self._execution_by_sequence.values())


def run_history(
    seed: int, rounds: int, directory: Path, daemon_module: tuple[str, ...] = ("ragwortpaddled",)
) -> History:
    """Run rounds with one random seed and return their history."""
    data_centres = ("dc-a", "dc-a", "dc-b")
    with Fleet(directory, data_centres, daemon_module=daemon_module) as fleet:
        demo.start_installation(fleet, OBJECTS_PATH)
        run = HistoryRun(fleet, seed)
        for round_number in range(rounds):
            run.run_round(round_number)
        return run.history


def main() -> int:
    """Run the rounds, print the verdict and return 1 if there are violations."""
    seed, rounds = int(sys.argv[1]), int(sys.argv[2])
    daemon_module = tuple(sys.argv[3:]) or ("ragwortpaddled",)
    with tempfile.TemporaryDirectory() as folder:
        history = run_history(seed, rounds, Path(folder), daemon_module)
    violations = find_violations(history)
    statuses = Counter(response.status for response in history.operation_responses)
    complete_count = sum(chat.complete for chat in history.chat_responses)
    print(f"seed {seed}, {rounds} rounds")
    print(f"faults: {dict(history.count_by_fault)}")
    print(f"operations: {len(history.operation_responses)} requests, statuses {dict(statuses)}")
    print(f"executions: {len(history.service_executions)}")
    print(f"chats: {len(history.chat_responses)}, complete {complete_count}")
    print(f"layer runs: {len(history.layer_runs)}")
    print(f"lives: {len(history.releases_by_process)}")
    print(f"violations: {len(violations)}")
    for violation in violations[:20]:
        print(f"  {violation}")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
