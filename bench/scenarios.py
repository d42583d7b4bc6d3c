"""Runs load against daemons and stand-ins, and compares the project's policy with baselines.

``python -m bench.scenarios NAME [POLICY ...]`` prints the results, writes out/NAME.json and .png.
"""

import asyncio
import hashlib
import json
import os
import random
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt
from ragwortpaddle_standins.fleet import EngineShape, Fleet

from bench.load import Arrival, ArrivalMaker, Outcome, percentile_ms, poisson_arrivals, send_load

SEED = 7
LAYER_COUNT = 12
STAGE_LAYER_RANGES = ((0, 4), (4, 8), (8, 12))
TEAM_NAMES = ("zurich", "bern", "basel")
STEP_FACTOR_BY_ACCELERATOR = {"fast": 1.0, "medium": 2.0, "slow": 4.0}
SEQUENCE_MS = 0.05  # per sequence of a batch, on a fast accelerator
OUTPUT_DIRECTORY = Path("out")
SHORT_ANSWERS = (8,) * 6 + (16,) * 3 + (32,)  # lengths in tokens, chosen at random
HEAVY_TAILED_ANSWERS = (8,) * 8 + (24,) * 6 + (48,) * 3 + (96,) * 2 + (160,)


@dataclass(frozen=True)
class Installation:
    """The daemons, engines, links and time-out of a benchmark's fleet."""

    daemons: int = 3
    accelerators: tuple[str, ...] = ("fast", "medium", "slow")
    link_ms: tuple[float, ...] = (0.1, 1.0, 10.0)
    max_batch: int = 8
    batch_base_ms: float = 20.0
    timeout_ms: int = 20_000

    def max_token_rate(self) -> float:
        """Return an upper bound of the engines' throughput, in tokens per second."""
        tokens_per_second = 0.0
        for accelerator in self.accelerators:
            batch_ms = (
                self.batch_base_ms + SEQUENCE_MS * self.max_batch
            ) * STEP_FACTOR_BY_ACCELERATOR[accelerator]
            tokens_per_second += self.max_batch / batch_ms * 1000
        return tokens_per_second


def format_objects(installation: Installation) -> str:
    """Return the pools, routes, priority and teams of a benchmark, in INI format."""
    text = f"""[pool:pedal-chat]
serves = model
model = pedal-chat
layers = {LAYER_COUNT}
[priority:bench]
level = 5
[route:pedal-assistant]
pool = pedal-chat
priority = bench
timeout_ms = {installation.timeout_ms}
[pool:parts]
serves = service
[route:orders]
pool = parts
path = /do/orders
priority = bench
repeatable = no
"""
    for team in TEAM_NAMES:
        digest = hashlib.sha256(f"{team}-token".encode()).hexdigest()
        text += f"[team:{team}]\ntoken_sha256 = {digest}\n"
    return text


def start_installation(fleet: Fleet, installation: Installation) -> None:
    """Start all processes, publish the objects and wait until the daemons are ready."""
    fleet.start_platform()
    for index, accelerator in enumerate(installation.accelerators):
        for stage, (first_layer, end_layer) in enumerate(STAGE_LAYER_RANGES):
            shape = EngineShape(
                first_layer,
                end_layer,
                accelerator,
                installation.max_batch,
                installation.batch_base_ms,
            )
            engine = fleet.start_engine(f"engine-{index}-{stage}", "pedal-chat", LAYER_COUNT, shape)
            engine.set_faults(link_delay_ms=installation.link_ms[index % len(installation.link_ms)])
    fleet.start_service("parts-1", "parts")
    for index in range(installation.daemons):
        fleet.start_daemon(f"entry-{index + 1}")
    path = fleet.directory / "objects.ini"
    path.write_text(format_objects(installation))
    fleet.publish(path)
    fleet.wait_ready()


def run_arrivals(
    policy: str,
    installation: Installation,
    arrivals: list[Arrival],
    inject_faults: Callable[[Fleet], None] | None = None,
) -> list[Outcome]:
    """Send arrivals to a new installation that runs under a policy."""
    module = ("ragwortpaddled",)
    if policy != "project":
        module = ("bench.baselines", policy)
    with (
        tempfile.TemporaryDirectory() as folder,
        Fleet(Path(folder), daemon_module=module, log_level="warning") as fleet,
    ):
        start_installation(fleet, installation)
        if inject_faults is not None:
            threading.Thread(target=inject_faults, args=(fleet,), daemon=True).start()
        return asyncio.run(send_load([daemon.url for daemon in fleet.daemons], arrivals))


def goodput(outcomes: list[Outcome], start_at: float, end_at: float) -> float:
    """Return the tokens per second, within a time window, that belong to complete answers."""
    tokens = sum(
        start_at <= at < end_at
        for outcome in outcomes
        if outcome.complete
        for at in outcome.token_times
    )
    return tokens / (end_at - start_at)


ResultRow = dict[str, object]


def measure_saturation(policy: str) -> ResultRow:
    """Throughput at saturation: mixed accelerators, link delays that differ by a factor of 100."""
    installation = Installation()
    rng = random.Random(SEED)
    mean_tokens = sum(HEAVY_TAILED_ANSWERS) / len(HEAVY_TAILED_ANSWERS)
    rate = 1.3 * installation.max_token_rate() / mean_tokens
    make_arrival = ArrivalMaker(rng, "chat", "zurich-token", HEAVY_TAILED_ANSWERS)
    outcomes = run_arrivals(policy, installation, poisson_arrivals(rng, rate, 0, 20, make_arrival))
    max_rate = installation.max_token_rate()
    token_rate = goodput(outcomes, 8, 20)
    return {
        "bound tokens/s": round(max_rate),
        "tokens/s": round(token_rate),
        "% of bound": round(100 * token_rate / max_rate, 1),
        "complete": sum(outcome.complete for outcome in outcomes),
        "refused": sum(outcome.status == 503 for outcome in outcomes),
    }


def measure_team_isolation(policy: str) -> ResultRow:
    """Latency of a team within its share while another team sends 20 times as many requests."""
    installation = Installation(accelerators=("fast", "fast"), link_ms=(0.1,))
    rng = random.Random(SEED)
    mean_tokens = sum(SHORT_ANSWERS) / len(SHORT_ANSWERS)
    rate = 0.2 * installation.max_token_rate() / mean_tokens
    quiet = poisson_arrivals(
        rng, rate, 0, 16, ArrivalMaker(rng, "quiet", "bern-token", SHORT_ANSWERS)
    )
    flood = poisson_arrivals(
        rng, 20 * rate, 2, 16, ArrivalMaker(rng, "flood", "zurich-token", SHORT_ANSWERS)
    )
    alone = _quiet_durations(run_arrivals(policy, installation, quiet))
    with_flood = _quiet_durations(run_arrivals(policy, installation, quiet + flood))
    p95_alone, p95_flood = percentile_ms(alone, 95), percentile_ms(with_flood, 95)
    return {
        "p95 alone ms": round(p95_alone),
        "p95 beside the flood ms": round(p95_flood),
        "ratio": round(p95_flood / p95_alone, 2),
        "answered alone": len(alone),
        "answered beside": len(with_flood),
    }


def _quiet_durations(outcomes: list[Outcome]) -> list[float]:
    return [
        outcome.total_seconds
        for outcome in outcomes
        if outcome.arrival.kind == "quiet" and outcome.complete and outcome.arrival.due_seconds >= 4
    ]


def measure_long_request_impact(policy: str) -> ResultRow:
    """Latency of short answers with and without 5 % of answers that are many times longer."""
    installation = Installation(accelerators=("fast", "fast"), link_ms=(0.1,))
    rng = random.Random(SEED)
    rate = 0.5 * installation.max_token_rate() / (sum(SHORT_ANSWERS) / len(SHORT_ANSWERS))
    make_arrival = ArrivalMaker(rng, "short", "zurich-token", SHORT_ANSWERS)
    short_arrivals = poisson_arrivals(rng, rate, 0, 16, make_arrival)
    long_arrivals = poisson_arrivals(
        rng, 0.05 * rate, 0, 16, ArrivalMaker(rng, "long", "zurich-token", (600,))
    )
    without_long = run_arrivals(policy, installation, short_arrivals)
    with_long = run_arrivals(policy, installation, short_arrivals + long_arrivals)
    p99 = [
        percentile_ms(
            [o.total_seconds for o in outcomes if o.arrival.kind == "short" and o.complete], 99
        )
        for outcomes in (without_long, with_long)
    ]
    long_outcomes = [outcome for outcome in with_long if outcome.arrival.kind == "long"]
    return {
        "p99 short without ms": round(p99[0]),
        "p99 short with ms": round(p99[1]),
        "ratio": round(p99[1] / p99[0], 2),
        "stragglers": len(long_outcomes),
        "finished": sum(outcome.complete for outcome in long_outcomes),
    }


def measure_demand_surge(policy: str) -> ResultRow:
    """Goodput and refusals while the request rate rises tenfold at once, for six seconds."""
    installation = Installation(
        accelerators=("fast", "fast"), link_ms=(0.1,), timeout_ms=2000, batch_base_ms=20.0
    )
    rng = random.Random(SEED)
    mean_tokens = sum(SHORT_ANSWERS) / len(SHORT_ANSWERS)
    base_rate = 0.3 * installation.max_token_rate() / mean_tokens
    make_arrival = ArrivalMaker(rng, "chat", "zurich-token", SHORT_ANSWERS)
    arrivals = poisson_arrivals(rng, base_rate, 0, 6, make_arrival)
    arrivals += poisson_arrivals(rng, 10 * base_rate, 6, 12, make_arrival)
    arrivals += poisson_arrivals(rng, base_rate, 12, 20, make_arrival)
    outcomes = run_arrivals(policy, installation, arrivals)
    surge = [outcome for outcome in outcomes if 6 <= outcome.arrival.due_seconds < 12]
    refusal_seconds = [outcome.total_seconds for outcome in surge if outcome.status == 503]
    admitted = [outcome for outcome in surge if outcome.complete]
    slow_starts = [outcome for outcome in admitted if outcome.first_token_seconds > 2.0]
    later = [outcome for outcome in outcomes if outcome.arrival.due_seconds >= 15]
    token_rate = goodput(outcomes, 7, 12)
    return {
        "capacity tokens/s": round(installation.max_token_rate()),
        "goodput % at the crest": round(100 * token_rate / installation.max_token_rate(), 1),
        "refused": len(refusal_seconds),
        "refusal p95 ms": round(percentile_ms(refusal_seconds, 95)) if refusal_seconds else 0,
        "refused as not run": sum(o.executed == "no" for o in surge if o.status == 503),
        "admitted": len(admitted),
        "first token p95 ms": round(percentile_ms([o.first_token_seconds for o in admitted], 95)),
        "late": len(slow_starts),
        "complete % after": round(100 * sum(o.complete for o in later) / max(1, len(later)), 1),
    }


def measure_stream_recovery(policy: str) -> ResultRow:
    """Gaps in token streams while engines that serve them are killed and frozen."""
    installation = Installation(
        accelerators=("fast",) * 4, link_ms=(0.1,), max_batch=16, batch_base_ms=8.0
    )
    rng = random.Random(SEED)
    arrivals = poisson_arrivals(rng, 8, 0, 14, ArrivalMaker(rng, "chat", "zurich-token", (100,)))

    def inject_engine_faults(fleet: Fleet) -> None:
        for name, action in (
            ("engine-0-1", "kill"),
            ("engine-1-0", "suspend"),
            ("engine-2-2", "kill"),
        ):
            time.sleep(3.5)
            getattr(fleet.processes[name], action)()

    outcomes = run_arrivals(policy, installation, arrivals, inject_engine_faults)
    gaps = [outcome.longest_token_gap for outcome in outcomes if outcome.complete]
    long_gaps = sorted(gap for gap in gaps if gap > 0.2)
    return {
        "streams": len(outcomes),
        "complete": sum(outcome.complete for outcome in outcomes),
        "tokens right": sum(o.tokens >= 95 for o in outcomes if o.complete),
        "with a gap over 200 ms": len(long_gaps),
        "p95 of those gaps ms": round(percentile_ms(long_gaps, 95)) if long_gaps else 0,
        "longest gap ms": round(1000 * max(gaps)),
    }


def measure_daemon_overhead(policy: str) -> ResultRow:
    """Added latency and CPU time per token of one daemon at 25 requests per second."""
    installation = Installation(
        daemons=1, accelerators=("fast",), link_ms=(0.0,), max_batch=256, batch_base_ms=4.0
    )
    rng = random.Random(SEED)
    make_arrival = ArrivalMaker(rng, "chat", "zurich-token", (64,))
    arrivals = poisson_arrivals(rng, 25, 0, 30, make_arrival)
    with (
        tempfile.TemporaryDirectory() as folder,
        Fleet(Path(folder), log_level="warning") as fleet,
    ):
        start_installation(fleet, installation)
        engines = [p for name, p in fleet.processes.items() if name.startswith("engine")]
        direct = asyncio.run(_time_direct_requests([engine.address for engine in engines], 200))
        pid = fleet.daemons[0].popen.pid
        cpu_before = _cpu_seconds(pid)
        outcomes = asyncio.run(send_load([fleet.daemons[0].url], arrivals))
        cpu_seconds = _cpu_seconds(pid) - cpu_before
        metric_by_name = _fetch_metrics(fleet.daemons[0].url)
    routed = [outcome.first_token_seconds for outcome in outcomes if outcome.complete]
    tokens = sum(outcome.tokens for outcome in outcomes)
    step_exchanges = metric_by_name["ragwortpaddle_step_exchanges_total"]
    return {
        "first token straight p50/p99 ms": [round(percentile_ms(direct, p), 1) for p in (50, 99)],
        "through the daemon p50/p99 ms": [round(percentile_ms(routed, p), 1) for p in (50, 99)],
        "added p50/p99 ms": [
            round(percentile_ms(routed, p) - percentile_ms(direct, p), 1) for p in (50, 99)
        ],
        "tokens": tokens,
        "CPU us a token": round(cpu_seconds / tokens * 1e6),
        "tokens/s a core": round(tokens / cpu_seconds),
        "CPU us a step exchange": round(cpu_seconds / step_exchanges * 1e6),
        "steps a exchange": round(3 * tokens / step_exchanges, 2),
    }


async def _time_direct_requests(addresses: list[str], count: int) -> list[float]:
    """Return the times, in seconds, of prompts sent through the engines without a daemon."""
    from ragwortpaddled.protocol import EngineClient, Step
    from ragwortpaddled.transport import HttpClient

    http = HttpClient()
    engines = EngineClient(http)
    times = []
    for number in range(count):
        started_at = time.monotonic()
        hidden: tuple[int, ...] = ()
        for (first_layer, end_layer), address in zip(STAGE_LAYER_RANGES, addresses, strict=True):
            prompt = "user: " + " ".join(str(i) for i in range(12)) if first_layer == 0 else ""
            step = Step(f"s{number}", 1, 0, first_layer, end_layer, prompt=prompt, hidden=hidden)
            reply = await engines.run_steps("e", address, [step], 5.0)
            hidden = reply.results[0].hidden
        times.append(time.monotonic() - started_at)
        await asyncio.sleep(0.02)
    await http.close()
    return times


def _cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _fetch_metrics(url: str) -> dict[str, float]:
    import urllib.request

    total_by_name: dict[str, float] = {}
    with urllib.request.urlopen(f"{url}/metrics") as response:
        for line in response.read().decode().splitlines():
            if line and not line.startswith("#"):
                name, _, value = line.rpartition(" ")
                name = name.partition("{")[0]
                total_by_name[name] = total_by_name.get(name, 0.0) + float(value)
    return total_by_name


SCENARIO_BY_NAME: dict[str, tuple[Callable[[str], ResultRow], tuple[str, ...]]] = {
    "chain": (measure_saturation, ("project", "round_robin", "least_outstanding", "two_choices")),
    "rivals": (measure_team_isolation, ("project", "first_come")),
    "stragglers": (measure_long_request_impact, ("project", "first_come")),
    "crest": (measure_demand_surge, ("project", "first_come")),
    "recovery": (measure_stream_recovery, ("project",)),
    "overhead": (measure_daemon_overhead, ("project",)),
}


def main() -> None:
    """Run one scenario under each policy, print the results and write them to files."""
    name, *chosen_policies = sys.argv[1:]
    scenario, default_policies = SCENARIO_BY_NAME[name]
    row_by_policy = {policy: scenario(policy) for policy in chosen_policies or default_policies}
    OUTPUT_DIRECTORY.mkdir(exist_ok=True)
    (OUTPUT_DIRECTORY / f"{name}.json").write_text(json.dumps(row_by_policy, indent=1))
    print(f"{name}: {scenario.__doc__}")
    for policy, row in row_by_policy.items():
        print(f"  {policy}:")
        for key, value in row.items():
            print(f"    {key}: {value}")
    _plot(name, row_by_policy)


def _plot(name: str, row_by_policy: dict[str, ResultRow]) -> None:
    keys = [k for k, v in next(iter(row_by_policy.values())).items() if isinstance(v, int | float)]
    figure, all_axes = plt.subplots(1, len(keys), figsize=(3 * len(keys), 3))
    for axes, key in zip(all_axes if len(keys) > 1 else [all_axes], keys, strict=True):
        axes.bar(list(row_by_policy), [row_by_policy[policy][key] for policy in row_by_policy])
        axes.set_title(key, fontsize=8)
        axes.tick_params(labelsize=6, rotation=30)
    figure.tight_layout()
    figure.savefig(OUTPUT_DIRECTORY / f"{name}.png", dpi=80)


if __name__ == "__main__":
    main()
