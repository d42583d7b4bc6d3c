"""The operators' commands: edit and publish objects, show the state of daemons and requests."""

import asyncio
import getpass
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import quote

import defopt
import msgspec
from ragwortpaddled.errors import RagwortpaddleError, TransportError
from ragwortpaddled.protocol import PlatformClient
from ragwortpaddled.state import (
    TYPE_BY_KIND,
    build_object_set,
    check_objects,
    format_object,
    read_objects,
)
from ragwortpaddled.transport import HttpClient

from ragwortpaddle._operator_client import OperatorClient
from ragwortpaddle._timeline import build_timeline

EXIT_FAILED = 1
PLATFORM_TIMEOUT_SECONDS = 3.0
STATUS_TIMEOUT_SECONDS = 2.0
DEFAULT_PLATFORM = "http://127.0.0.1:7000"

Command = Callable[[OperatorClient, HttpClient], Awaitable[int]]


class SignalStatus(msgspec.Struct):
    """A signal in a daemon's status."""

    kind: str
    object_name: str
    evidence: list[str]
    since: float
    done: str
    advice: str


class DaemonStatus(msgspec.Struct):
    """The fields of ``GET /status`` that the commands print; others are ignored."""

    name: str
    release: int
    release_by_daemon: dict[str, int]
    members: list[dict[str, str | bool | int]]
    endpoints: list[dict[str, str | bool | int | float]]
    quarantines: list[list[object]]
    signals: list[SignalStatus]
    requests_in_flight: int
    operations_unsettled: int


def check(*files: Path) -> int:
    """Validate object files as one set, without contacting the platform.

    :param files: INI files of objects
    """
    objects = build_object_set([edit.item for edit in read_objects(list(files))])
    problems = check_objects(objects)
    for problem in problems:
        print(problem)
    if problems:
        print(f"{len(problems)} problems; publishing is refused until they are fixed")
        return EXIT_FAILED
    print(f"{len(objects)} objects, no problems")
    return 0


def apply(*files: Path, platform: str = DEFAULT_PLATFORM) -> int:
    """Write objects to the platform; refuse an object that has changed since it was read.

    :param files: INI files of objects; ``version_read`` in a section is the version to replace
    :param platform: URL of the platform's object API
    """

    async def command(operator_client: OperatorClient, _http: HttpClient) -> int:
        failed = 0
        for edit in read_objects(list(files)):
            section = f"[{edit.item.kind}:{edit.item.name}]"
            try:
                version = await operator_client.apply(edit)
                print(f"{section} is at version {version}")
            except RagwortpaddleError as error:
                failed += 1
                print(error, file=sys.stderr)
        return EXIT_FAILED if failed else 0

    return _run_command(platform, command)


def delete(kind: str, name: str, version: int, *, platform: str = DEFAULT_PLATFORM) -> int:
    """Delete an object; it stays in force until the next release is published.

    :param kind: pool, route, team, priority, limit or lift
    :param name: the object's name
    :param version: the version to delete, as printed by ``get``
    :param platform: URL of the platform's object API
    """

    async def command(operator_client: OperatorClient, _http: HttpClient) -> int:
        await operator_client.delete(kind, name, version)
        return 0

    return _run_command(platform, command)


def get(*, kind: str = "", platform: str = DEFAULT_PLATFORM) -> int:
    """Print the objects as INI sections that ``apply`` accepts.

    :param kind: print only objects of this kind
    :param platform: URL of the platform's object API
    """

    async def command(operator_client: OperatorClient, _http: HttpClient) -> int:
        if kind and kind not in TYPE_BY_KIND:
            print(f"unknown kind {kind}; one of {', '.join(TYPE_BY_KIND)}", file=sys.stderr)
            return EXIT_FAILED
        for versioned in await operator_client.list_objects():
            if kind in ("", versioned.item.kind):
                print(format_object(versioned.item, versioned.version))
        return 0

    return _run_command(platform, command)


def publish(*, publisher: str = "", platform: str = DEFAULT_PLATFORM) -> int:
    """Validate all objects and publish them as the next release.

    :param publisher: name recorded as the publisher; the login name if empty
    :param platform: URL of the platform's object API
    """

    async def command(operator_client: OperatorClient, _http: HttpClient) -> int:
        release = await operator_client.publish(publisher or getpass.getuser())
        print(f"release {release.number} is published with {len(release.objects)} objects")
        return 0

    return _run_command(platform, command)


def history(*, platform: str = DEFAULT_PLATFORM) -> int:
    """Print the published releases, the latest first.

    :param platform: URL of the platform's object API
    """

    async def command(operator_client: OperatorClient, _http: HttpClient) -> int:
        for release in await operator_client.list_releases():
            date = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(release.published_at))
            print(
                f"{release.number}\t{date}Z\t{release.published_by}\t{len(release.objects)} objects"
            )
        return 0

    return _run_command(platform, command)


def status(*, platform: str = DEFAULT_PLATFORM) -> int:
    """Print the release in force at each daemon, and the state of daemons and endpoints.

    :param platform: URL of the platform's object API
    """

    async def command(operator_client: OperatorClient, http: HttpClient) -> int:
        daemons = []
        for address in await operator_client.list_daemon_addresses():
            daemon = await _fetch_status(http, address)
            if daemon is None:
                print(f"daemon at {address} does not answer")
            else:
                daemons.append(daemon)
        release = await operator_client.get_current_release()
        published = release.number if release else 0
        print(f"published release: {published}")
        for daemon in daemons:
            lag = "" if daemon.release >= published else "  LAGS"
            print(
                f"daemon {daemon.name}: release {daemon.release}{lag}, "
                f"{daemon.requests_in_flight} requests in flight, "
                f"{daemon.operations_unsettled} operations unsettled"
            )
        if daemons:
            _print_endpoints(daemons)
            _print_signals(daemons)
        return 0

    return _run_command(platform, command)


def explain(name: str, *, platform: str = DEFAULT_PLATFORM, logs: Path | None = None) -> int:
    """Print what the daemons recorded about a request or an object.

    :param name: a request id, or the name of an object or an endpoint
    :param platform: URL of the platform's object API
    :param logs: read the request's history from this file of log lines, - for standard input
    """
    if logs is not None:
        return _explain_from_logs(name, logs)

    async def command(operator_client: OperatorClient, http: HttpClient) -> int:
        count_by_line: dict[str, int] = {}
        for address in await operator_client.list_daemon_addresses():
            for line in await _fetch_explanation(http, address, name):
                count_by_line[line] = count_by_line.get(line, 0) + 1
        for line, count in count_by_line.items():
            print(line if count == 1 else f"{line} (reported by {count} daemons)")
        if not count_by_line:
            print(f"no daemon knows {name}; daemons keep only their latest requests")
        return 0 if count_by_line else EXIT_FAILED

    return _run_command(platform, command)


def _print_signals(daemons: list[DaemonStatus]) -> None:
    """Print each signal once, with the number of daemons that report it."""
    signals_by_subject: dict[tuple[str, str], list[SignalStatus]] = {}
    for daemon in daemons:
        for signal in daemon.signals:
            signals_by_subject.setdefault((signal.kind, signal.object_name), []).append(signal)
    for (kind, object_name), signals in sorted(signals_by_subject.items()):
        first = min(signals, key=lambda signal: signal.since)
        since = time.strftime("%H:%M:%S", time.gmtime(first.since))
        print(f"signal {kind} on {object_name} since {since}Z: {'; '.join(first.evidence)}")
        print(
            f"  reported by {len(signals)} of {len(daemons)} daemons; {first.done}; {first.advice}"
        )


def _print_endpoints(daemons: list[DaemonStatus]) -> None:
    """Print each endpoint once, with the number of daemons that report it unavailable."""
    reporters_by_endpoint: dict[str, list[str]] = {}
    endpoint_by_name = {}
    for daemon in daemons:
        for endpoint in daemon.endpoints:
            name = str(endpoint["name"])
            endpoint_by_name[name] = endpoint
            if endpoint["circuit"] != "closed" or endpoint["leaving"]:
                reporters_by_endpoint.setdefault(name, []).append(daemon.name)
    for name, endpoint in sorted(endpoint_by_name.items()):
        state = "ok"
        if name in reporters_by_endpoint:
            count = len(reporters_by_endpoint[name])
            reason = "leaving" if endpoint["leaving"] else "circuit open"
            state = f"{reason}, reported by {count} of {len(daemons)} daemons"
        print(f"endpoint {name}: pool {endpoint['pool']}, layers {endpoint['layers']}, {state}")
    quarantined = {str(q[0]): q for daemon in daemons for q in daemon.quarantines}
    for content, quarantine in sorted(quarantined.items()):
        print(f"quarantined {content}: {quarantine[3]}; lift it with a [lift:{content}] object")


async def _fetch_explanation(http: HttpClient, address: str, name: str) -> list[str]:
    url = f"http://{address}/explain?name={quote(name, safe='')}"
    try:
        reply = await http.exchange("GET", url, timeout_seconds=STATUS_TIMEOUT_SECONDS)
        return msgspec.json.decode(reply.body, type=list[str])
    except (TransportError, msgspec.MsgspecError):
        return []


async def _fetch_status(http: HttpClient, address: str) -> DaemonStatus | None:
    try:
        reply = await http.exchange(
            "GET", f"http://{address}/status", timeout_seconds=STATUS_TIMEOUT_SECONDS
        )
        return msgspec.json.decode(reply.body, type=DaemonStatus)
    except (TransportError, msgspec.MsgspecError):
        return None


def _run_command(url: str, command: Command) -> int:
    async def run() -> int:
        http = HttpClient()
        try:
            return await command(
                OperatorClient(PlatformClient(http, url, PLATFORM_TIMEOUT_SECONDS)), http
            )
        finally:
            await http.close()

    return asyncio.run(run())


def _explain_from_logs(request_id: str, logs: Path) -> int:
    with sys.stdin if str(logs) == "-" else logs.open() as lines:
        timeline = build_timeline(lines, request_id)
    if not timeline:
        print(f"{logs} has no log line for request {request_id}")
        return EXIT_FAILED
    print("\n".join(timeline))
    return 0


def main() -> None:
    """Parse the command line, run one command and exit with its status."""
    commands = [check, apply, publish, get, delete, history, status, explain]
    try:
        sys.exit(defopt.run(commands, no_negated_flags=True))
    except RagwortpaddleError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_FAILED)


if __name__ == "__main__":
    main()
