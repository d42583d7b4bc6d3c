"""Stand-in for a plain service that records each execution of an operation."""

import asyncio

import defopt
import msgspec
from blacksheep import Application, Content, Request, Response

from ragwortpaddle_standins._server import json_response, reset_connection, serve


class Execution(msgspec.Struct):
    """One execution of an operation."""

    sequence: int
    method: str
    path: str
    idempotency_key: str
    attempt: str
    request: str
    body: str


class Faults(msgspec.Struct):
    """The injected faults; a count is decremented each time its fault is applied.

    ``drop_before`` and ``drop_after`` reset the connection before or after the execution.
    """

    delay_ms: int = 0
    drop_before: int = 0
    drop_after: int = 0
    fail: int = 0


class Service:
    """The recorded executions and the injected faults of one service."""

    def __init__(self) -> None:
        self.executions: list[Execution] = []
        self.faults = Faults()
        self.leaving = False
        self.active = 0


def _get_header(request: Request, name: bytes) -> str:
    return (request.get_first_header(name) or b"").decode()


def build(service: Service) -> Application:
    """Build the service's HTTP application."""
    application = Application()
    router = application.router

    async def execute(request: Request) -> Response:
        faults = service.faults
        body = await request.read() or b""
        if faults.drop_before > 0:
            faults.drop_before -= 1
            reset_connection(request)
        if faults.delay_ms:
            service.active += 1
            await asyncio.sleep(faults.delay_ms / 1000)
            service.active -= 1
        if faults.fail > 0:
            faults.fail -= 1
            return json_response({"error": "failed before execution"}, 500)
        execution = Execution(
            len(service.executions) + 1,
            request.method,
            request.url.path.decode(),
            _get_header(request, b"Idempotency-Key"),
            _get_header(request, b"Ragwortpaddle-Attempt"),
            _get_header(request, b"Ragwortpaddle-Request-Id"),
            body.decode(errors="replace"),
        )
        service.executions.append(execution)
        if faults.drop_after > 0:
            faults.drop_after -= 1
            reset_connection(request)
        content = {"sequence": execution.sequence, "path": execution.path, "echo": execution.body}
        response = Response(200, content=Content(b"application/json", msgspec.json.encode(content)))
        response.add_header(b"Service-Sequence", str(execution.sequence).encode())
        return response

    async def get_executions(_request: Request) -> Response:
        return json_response(service.executions)

    async def get_status(_request: Request) -> Response:
        return json_response({"active": service.active, "waiting": 0, "leaving": service.leaving})

    async def set_faults(request: Request) -> Response:
        service.faults = msgspec.json.decode(await request.read() or b"", type=Faults)
        return json_response({})

    async def start_leaving(_request: Request) -> Response:
        service.leaving = True
        return json_response({})

    router.add_get("/executions", get_executions)
    router.add_get("/v1/status", get_status)
    router.add_post("/faults", set_faults)
    router.add_post("/leave", start_leaving)
    for method in ("GET", "POST", "PUT", "DELETE", "PATCH"):
        router.add(method, "/do/*", execute)
    return application


def main(*, listen: str) -> None:
    """Run the service stand-in.

    :param listen: host:port to listen on
    """
    serve(build(Service()), listen)


if __name__ == "__main__":
    defopt.run(main)
