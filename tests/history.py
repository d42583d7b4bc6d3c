"""Concurrent runs of real processes under seeded faults, and the judge of their history.

``python tests/history.py SEED ROUNDS`` runs and prints the verdict.
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
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from callers import chat_body, expected_chat
from ragwortpaddle_standins import demo
from ragwortpaddle_standins.demo import LAYERS, STAGES, TOKEN
from ragwortpaddle_standins.fleet import EngineShape, Fleet, Process, fetch

OBJECTS = Path(__file__).parent.parent / "examples" / "workshops.ini"
ROUND_SECONDS = 6.0
OPERATION_CALLERS = 4
CHAT_CALLERS = 4
REPEATS = 3
ANSWER_TOKENS = 60


@dataclass(frozen=True)
class OperationReply:
    """What a caller was told of one request for an operation; status 0 is a broken connection."""

    key: str
    request: str
    status: int
    executed: str
    body: str


@dataclass(frozen=True)
class ServiceExecution:
    """One execution as the service recorded it."""

    key: str
    request: str
    body: str


@dataclass(frozen=True)
class ChatReply:
    """One streamed chat: the text received, and whether its end was marked."""

    prompt: str
    text: str
    complete: bool
    refused: bool


@dataclass(frozen=True)
class LayerRun:
    """One position through one layer, as an engine recorded it."""

    request: str
    attempt: int
    position: int
    layer: int


@dataclass
class History:
    """Everything that was seen in a run; releases are by life of a daemon, in order of time."""

    operations: list[OperationReply] = field(default_factory=list)
    executions: list[ServiceExecution] = field(default_factory=list)
    chats: list[ChatReply] = field(default_factory=list)
    layer_runs: list[LayerRun] = field(default_factory=list)
    releases_by_life: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    faults: Counter[str] = field(default_factory=Counter)


def judge(history: History) -> list[str]:
    """Return every violation of the promises."""
    violations = []
    executions = Counter(execution.key for execution in history.executions)
    violations += [f"key {key} ran {n} times" for key, n in executions.items() if n > 1]
    ran = {execution.request for execution in history.executions}
    for reply in history.operations:
        if reply.executed == "no" and reply.request in ran:
            violations.append(f"request {reply.request} was told not to have run, but ran")
    body_by_key = {execution.key: execution.body for execution in history.executions}
    for reply in history.operations:
        if reply.status == 200 and reply.body != body_by_key.get(reply.key):
            violations.append(f"key {reply.key} was answered {reply.body!r}")
    for chat in history.chats:
        expected = expected_chat(chat.prompt, ANSWER_TOKENS)
        if chat.complete and chat.text != expected:
            violations.append(f"chat {chat.prompt!r} got another text")
        if not expected.startswith(chat.text):
            violations.append(f"chat {chat.prompt!r} got a piece that is not its own")
    runs = Counter(history.layer_runs)
    violations += [f"{run} ran {n} times" for run, n in runs.items() if n > 1]
    for life, numbers in history.releases_by_life.items():
        if numbers != sorted(numbers):
            violations.append(f"daemon {life} went back: {numbers}")
    return violations


class Run:
    """One installation with its callers, its operators and its faults."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.history = History()
        self._fleet = fleet
        self._random = random.Random(seed)
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._executions: dict[int, ServiceExecution] = {}

    def round(self, number: int) -> None:
        """Run callers, operators and faults at once for a while, then heal everything."""
        self._stop.clear()
        work: list[Callable[[], None]] = [self._watch_releases, self._publish]
        for index in range(OPERATION_CALLERS):
            work.append(self._caller(self._operate, number, index))
        for index in range(CHAT_CALLERS):
            work.append(self._caller(self._chat, number, index))
        threads = [threading.Thread(target=item) for item in work]
        for thread in threads:
            thread.start()
        self._break_things()
        self._stop.set()
        for thread in threads:
            thread.join()
        self._collect_layers()
        self._heal()
        self._collect()

    def _caller(
        self, act: Callable[[random.Random, str], None], number: int, index: int
    ) -> Callable[[], None]:
        own_random = random.Random(self._random.random())

        def run() -> None:
            count = 0
            while not self._stop.is_set():
                count += 1
                act(own_random, f"{act.__name__}-{number}-{index}-{count}")

        return run

    def _operate(self, own_random: random.Random, key: str) -> None:
        for _ in range(1 + own_random.randrange(REPEATS)):
            daemon = own_random.choice(self._fleet.daemons)
            reply = self._order(daemon, key)
            with self._lock:
                self.history.operations.append(reply)
            time.sleep(own_random.uniform(0, 0.05))

    def _order(self, daemon: Process, key: str) -> OperationReply:
        body = json.dumps({"key": key}).encode()
        request = urllib.request.Request(f"{daemon.url}/services/orders/new", body, method="POST")
        request.add_header("Authorization", f"Bearer {TOKEN}")
        request.add_header("Idempotency-Key", key)
        try:
            with urllib.request.urlopen(request, timeout=15) as response:
                headers, status, text = response.headers, response.status, response.read()
        except urllib.error.HTTPError as error:
            headers, status, text = error.headers, error.code, error.read()
        except (OSError, http.client.HTTPException):
            return OperationReply(key, "", 0, "", "")
        return OperationReply(
            key,
            headers.get("Ragwortpaddle-Request-Id", ""),
            status,
            headers.get("Ragwortpaddle-Executed", ""),
            text.decode(),
        )

    def _chat(self, own_random: random.Random, prompt: str) -> None:
        daemon = own_random.choice(self._fleet.daemons)
        body = chat_body(prompt, ANSWER_TOKENS, stream=True)
        request = urllib.request.Request(f"{daemon.url}/v1/chat/completions", body, method="POST")
        request.add_header("Authorization", f"Bearer {TOKEN}")
        pieces, complete, refused = [], False, False
        try:
            with urllib.request.urlopen(request, timeout=20) as response:
                for line in response:
                    if line == b"data: [DONE]\n":
                        complete = True
                    elif line.startswith(b"data: "):
                        event = json.loads(line.removeprefix(b"data: "))
                        for choice in event.get("choices", ()):
                            pieces.append(choice["delta"].get("content") or "")
        except urllib.error.HTTPError:
            refused = True
        except (OSError, ValueError, http.client.HTTPException):
            complete = False
        with self._lock:
            self.history.chats.append(ChatReply(prompt, "".join(pieces), complete, refused))

    def _watch_releases(self) -> None:
        while not self._stop.is_set():
            for daemon in self._fleet.daemons:
                try:
                    number = fetch(f"{daemon.url}/status")["release"]
                except (OSError, ValueError, http.client.HTTPException):
                    continue
                life = f"{daemon.name}/{daemon.popen.pid}"
                self.history.releases_by_life[life].append(number)
            time.sleep(0.05)

    def _publish(self) -> None:
        while not self._stop.is_set():
            racers = [
                threading.Thread(target=lambda: self._fleet.operate("publish", expect=None))
                for _ in range(2)
            ]
            for racer in racers:
                racer.start()
            for racer in racers:
                racer.join()

    def _break_things(self) -> None:
        faults = [
            self._kill_daemon,
            self._freeze_daemon,
            self._kill_engine,
            self._freeze_engine,
            self._store_outage,
            self._slow_store,
            self._lose_replies,
            self._late_writes,
            self._drop_answers,
            self._slow_service,
            self._stray_replies,
        ]
        deadline = time.monotonic() + ROUND_SECONDS
        while time.monotonic() < deadline:
            time.sleep(self._random.uniform(0.1, 0.5))
            fault = self._random.choice(faults)
            self.history.faults[fault.__name__.lstrip("_")] += 1
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
        daemon.freeze()
        time.sleep(self._random.uniform(0.3, 2.5))
        daemon.thaw()

    def _kill_engine(self) -> None:
        engine = self._random.choice(self._engines())
        self._collect_layers_of(engine)
        engine.kill()
        time.sleep(self._random.uniform(0, 0.3))
        self._restart_engine(engine)

    def _restart_engine(self, engine: Process) -> None:
        stage = int(engine.name.rsplit("-", 1)[1])
        shape = EngineShape(*STAGES[stage])
        self._fleet.start_engine(
            engine.name, "pedal-chat", LAYERS, shape, "dc-a", address=engine.address
        )

    def _freeze_engine(self) -> None:
        engine = self._random.choice(self._engines())
        engine.freeze()
        time.sleep(self._random.uniform(0.2, 1.5))
        engine.thaw()

    def _store_outage(self) -> None:
        self._fleet.platform.faults(outage=True)
        time.sleep(self._random.uniform(0.2, 1.5))
        self._fleet.platform.faults()

    def _slow_store(self) -> None:
        self._fleet.platform.faults(delay_ms=self._random.randrange(20, 400))
        time.sleep(self._random.uniform(0.2, 1.0))
        self._fleet.platform.faults()

    def _lose_replies(self) -> None:
        self._fleet.platform.faults(lose_replies=self._random.randrange(1, 4))

    def _late_writes(self) -> None:
        late = self._random.randrange(900, 2500)
        self._fleet.platform.faults(lose_replies=2, late_writes_ms=late)

    def _drop_answers(self) -> None:
        name = self._random.choice(["drop_before", "drop_after"])
        self._fleet.processes["parts-1"].faults(**{name: self._random.randrange(1, 4)})

    def _slow_service(self) -> None:
        self._fleet.processes["parts-1"].faults(delay_ms=self._random.randrange(50, 600))

    def _stray_replies(self) -> None:
        name = self._random.choice(["duplicate_replies", "crossed_replies", "drop_replies"])
        self._random.choice(self._engines()).faults(**{name: 2})

    def _heal(self) -> None:
        self._fleet.platform.faults()
        self._fleet.processes["parts-1"].faults()
        for engine in self._engines():
            engine.faults()
        for process in self._fleet.processes.values():
            process.thaw()
        self._fleet.wait_ready()

    def _collect_layers(self) -> None:
        for engine in self._engines():
            self._collect_layers_of(engine)

    def _collect_layers_of(self, engine: Process) -> None:
        """Take the executions of an engine; what it recorded before is taken only once."""
        known = set(self.history.layer_runs)
        fresh = []
        for item in fetch(f"{engine.url}/history")["executions"]:
            for position in range(item["position"], item["position"] + item["count"]):
                for layer in range(item["first_layer"], item["end_layer"]):
                    fresh.append(LayerRun(item["request"], item["attempt"], position, layer))
        repeated = [run for run, count in Counter(fresh).items() if count > 1]
        self.history.layer_runs += [run for run in fresh if run not in known] + repeated

    def _collect(self) -> None:
        listed = fetch(f"{self._fleet.processes['parts-1'].url}/executions")
        for item in listed:
            answer = {k: item[k] for k in ("sequence", "path")} | {"echo": item["body"]}
            body = json.dumps(answer, separators=(",", ":"))
            execution = ServiceExecution(item["idempotency_key"], item["request"], body)
            self._executions[item["sequence"]] = execution
        self.history.executions = list(self._executions.values())


def run_history(
    seed: int, rounds: int, directory: Path, daemon_module: tuple[str, ...] = ("ragwortpaddled",)
) -> History:
    """Run rounds under one seed and return their history."""
    data_centres = ("dc-a", "dc-a", "dc-b")
    with Fleet(directory, data_centres, daemon_module=daemon_module) as fleet:
        demo.start(fleet, OBJECTS)
        run = Run(fleet, seed)
        for number in range(rounds):
            run.round(number)
        return run.history


def main() -> int:
    """Run and print the verdict."""
    seed, rounds = int(sys.argv[1]), int(sys.argv[2])
    module = tuple(sys.argv[3:]) or ("ragwortpaddled",)
    with tempfile.TemporaryDirectory() as folder:
        history = run_history(seed, rounds, Path(folder), module)
    violations = judge(history)
    statuses = Counter(reply.status for reply in history.operations)
    complete = sum(chat.complete for chat in history.chats)
    print(f"seed {seed}, {rounds} rounds")
    print(f"faults: {dict(history.faults)}")
    print(f"operations: {len(history.operations)} requests, statuses {dict(statuses)}")
    print(f"executions: {len(history.executions)}")
    print(f"chats: {len(history.chats)}, complete {complete}")
    print(f"layer runs: {len(history.layer_runs)}")
    print(f"lives: {len(history.releases_by_life)}")
    print(f"violations: {len(violations)}")
    for violation in violations[:20]:
        print(f"  {violation}")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
