"""The operators' commands."""

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
from ragwortpaddled.protocol import Platform
from ragwortpaddled.state import (
    TYPE_BY_KIND,
    check_objects,
    collect,
    read_objects,
    write_object,
)
from ragwortpaddled.transport import HttpClient

from ragwortpaddle._story import tell_story
from ragwortpaddle._workspace import Workspace

EXIT_FAILED = 1
PLATFORM_TIMEOUT_SECONDS = 3.0
STATUS_TIMEOUT_SECONDS = 2.0
DEFAULT_PLATFORM = "http://127.0.0.1:7000"

Work = Callable[[Workspace, HttpClient], Awaitable[int]]


class SignalAnswer(msgspec.Struct):
    """A signal as a daemon shows it."""

    kind: str
    object_name: str
    evidence: list[str]
    since: float
    done: str
    advice: str


class DaemonAnswer(msgspec.Struct):
    """The part of a daemon's status page that operators are shown."""

    name: str
    release: int
    release_by_daemon: dict[str, int]
    members: list[dict[str, str | bool | int]]
    endpoints: list[dict[str, str | bool | int | float]]
    quarantines: list[list[object]]
    signals: list[SignalAnswer]
    requests_in_flight: int
    operations_unsettled: int


def check(*files: Path) -> int:
    """Check object files as one set, without the platform.

    :param files: INI files of objects
    """
    objects = collect([edit.item for edit in read_objects(list(files))])
    problems = check_objects(objects)
    for problem in problems:
        print(problem)
    if problems:
        print(f"{len(problems)} problems; nothing can be published before they are mended")
        return EXIT_FAILED
    print(f"{len(objects)} objects, no problems")
    return 0


def apply(*files: Path, platform: str = DEFAULT_PLATFORM) -> int:
    """Write objects to the platform; an object that was changed since it was read is refused.

    :param files: INI files of objects; ``version_read`` in a section is the version it replaces
    :param platform: URL of the platform's object API
    """

    async def work(workspace: Workspace, _http: HttpClient) -> int:
        failed = 0
        for edit in read_objects(list(files)):
            section = f"[{edit.item.kind}:{edit.item.name}]"
            try:
                version = await workspace.apply(edit)
                print(f"{section} is at version {version}")
            except RagwortpaddleError as error:
                failed += 1
                print(error, file=sys.stderr)
        return EXIT_FAILED if failed else 0

    return _with_workspace(platform, work)


def delete(kind: str, name: str, version: int, *, platform: str = DEFAULT_PLATFORM) -> int:
    """Delete an object; it stays in force until the next publish.

    :param kind: pool, route, team, priority, limit or lift
    :param name: the object's name
    :param version: the version that was read
    :param platform: URL of the platform's object API
    """

    async def work(workspace: Workspace, _http: HttpClient) -> int:
        await workspace.delete(kind, name, version)
        return 0

    return _with_workspace(platform, work)


def get(*, kind: str = "", platform: str = DEFAULT_PLATFORM) -> int:
    """Print the objects in the form that ``apply`` takes.

    :param kind: only objects of this kind
    :param platform: URL of the platform's object API
    """

    async def work(workspace: Workspace, _http: HttpClient) -> int:
        if kind and kind not in TYPE_BY_KIND:
            print(f"unknown kind {kind}; one of {', '.join(TYPE_BY_KIND)}", file=sys.stderr)
            return EXIT_FAILED
        for versioned in await workspace.objects():
            if kind in ("", versioned.item.kind):
                print(write_object(versioned.item, versioned.version))
        return 0

    return _with_workspace(platform, work)


def publish(*, publisher: str = "", platform: str = DEFAULT_PLATFORM) -> int:
    """Check the whole set and publish it as the next release.

    :param publisher: who publishes; the login name if empty
    :param platform: URL of the platform's object API
    """

    async def work(workspace: Workspace, _http: HttpClient) -> int:
        release = await workspace.publish(publisher or getpass.getuser())
        print(f"release {release.number} is published with {len(release.objects)} objects")
        return 0

    return _with_workspace(platform, work)


def history(*, platform: str = DEFAULT_PLATFORM) -> int:
    """Print the releases, the latest first.

    :param platform: URL of the platform's object API
    """

    async def work(workspace: Workspace, _http: HttpClient) -> int:
        for release in await workspace.history():
            at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(release.published_at))
            print(
                f"{release.number}\t{at}Z\t{release.published_by}\t{len(release.objects)} objects"
            )
        return 0

    return _with_workspace(platform, work)


def status(*, platform: str = DEFAULT_PLATFORM) -> int:
    """Print which release is in force where, and how daemons and endpoints are.

    :param platform: URL of the platform's object API
    """

    async def work(workspace: Workspace, http: HttpClient) -> int:
        answers = []
        for address in await workspace.daemons():
            answer = await _ask(http, address)
            if answer is None:
                print(f"daemon at {address} does not answer")
            else:
                answers.append(answer)
        release = await workspace.current()
        published = release.number if release else 0
        print(f"published release: {published}")
        for answer in answers:
            lag = "" if answer.release >= published else "  LAGS"
            print(
                f"daemon {answer.name}: release {answer.release}{lag}, "
                f"{answer.requests_in_flight} requests in flight, "
                f"{answer.operations_unsettled} operations unsettled"
            )
        if answers:
            _print_endpoints(answers)
            _print_signals(answers)
        return 0

    return _with_workspace(platform, work)


def explain(name: str, *, platform: str = DEFAULT_PLATFORM, logs: Path | None = None) -> int:
    """Print what the daemons know of a request or an object.

    :param name: a request id, or the name of an object or an endpoint
    :param platform: URL of the platform's object API
    :param logs: tell a request's story from this file of log lines, - for standard input
    """
    if logs is not None:
        return _explain_from_logs(name, logs)

    async def work(workspace: Workspace, http: HttpClient) -> int:
        known: dict[str, int] = {}
        for address in await workspace.daemons():
            for line in await _ask_about(http, address, name):
                known[line] = known.get(line, 0) + 1
        for line, count in known.items():
            print(line if count == 1 else f"{line} (told by {count} daemons)")
        if not known:
            print(f"no daemon knows {name}; requests are remembered for a while only")
        return 0 if known else EXIT_FAILED

    return _with_workspace(platform, work)


def _print_signals(answers: list[DaemonAnswer]) -> None:
    """Print each signal once, with the number of daemons that see it."""
    seen: dict[tuple[str, str], list[SignalAnswer]] = {}
    for answer in answers:
        for signal in answer.signals:
            seen.setdefault((signal.kind, signal.object_name), []).append(signal)
    for (kind, object_name), signals in sorted(seen.items()):
        first = min(signals, key=lambda signal: signal.since)
        since = time.strftime("%H:%M:%S", time.gmtime(first.since))
        print(f"signal {kind} on {object_name} since {since}Z: {'; '.join(first.evidence)}")
        print(f"  seen by {len(signals)} of {len(answers)} daemons; {first.done}; {first.advice}")


def _print_endpoints(answers: list[DaemonAnswer]) -> None:
    """Print each endpoint once, with the daemons that see it as unfit."""
    unfit_by_endpoint: dict[str, list[str]] = {}
    known = {}
    for answer in answers:
        for endpoint in answer.endpoints:
            name = str(endpoint["name"])
            known[name] = endpoint
            if endpoint["circuit"] != "closed" or endpoint["leaving"]:
                unfit_by_endpoint.setdefault(name, []).append(answer.name)
    for name, endpoint in sorted(known.items()):
        state = "ok"
        if name in unfit_by_endpoint:
            seen_by = len(unfit_by_endpoint[name])
            reason = "leaving" if endpoint["leaving"] else "circuit open"
            state = f"{reason}, seen by {seen_by} of {len(answers)} daemons"
        print(f"endpoint {name}: pool {endpoint['pool']}, layers {endpoint['layers']}, {state}")
    quarantined = {str(q[0]): q for answer in answers for q in answer.quarantines}
    for content, quarantine in sorted(quarantined.items()):
        print(f"quarantined {content}: {quarantine[3]}; lift it with a [lift:{content}] object")


async def _ask_about(http: HttpClient, address: str, name: str) -> list[str]:
    url = f"http://{address}/explain?name={quote(name, safe='')}"
    try:
        reply = await http.exchange("GET", url, timeout_seconds=STATUS_TIMEOUT_SECONDS)
        return msgspec.json.decode(reply.body, type=list[str])
    except (TransportError, msgspec.MsgspecError):
        return []


async def _ask(http: HttpClient, address: str) -> DaemonAnswer | None:
    try:
        reply = await http.exchange(
            "GET", f"http://{address}/status", timeout_seconds=STATUS_TIMEOUT_SECONDS
        )
        return msgspec.json.decode(reply.body, type=DaemonAnswer)
    except (TransportError, msgspec.MsgspecError):
        return None


def _with_workspace(url: str, work: Work) -> int:
    async def run() -> int:
        http = HttpClient()
        try:
            return await work(Workspace(Platform(http, url, PLATFORM_TIMEOUT_SECONDS)), http)
        finally:
            await http.close()

    return asyncio.run(run())


def _explain_from_logs(request_id: str, logs: Path) -> int:
    with sys.stdin if str(logs) == "-" else logs.open() as lines:
        story = tell_story(lines, request_id)
    if not story:
        print(f"{logs} holds no line about {request_id}")
        return EXIT_FAILED
    print("\n".join(story))
    return 0


def main() -> None:
    """Run a command."""
    commands = [check, apply, publish, get, delete, history, status, explain]
    try:
        sys.exit(defopt.run(commands, no_negated_flags=True))
    except RagwortpaddleError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_FAILED)


if __name__ == "__main__":
    main()
