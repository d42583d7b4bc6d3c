"""Servers and callers that send many small pieces or bytes without end."""

import asyncio
import time

from ragwortpaddled.transport import Http1Client, Http1Server, HttpClient

BLOCK_BYTES = 64 * 1024
HEAD = (
    b"HTTP/1.1 %d OK\r\nX-Attempt-Id: a1\r\nX-Server-Seal: seal\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
UPLOAD_HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """Return one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class LoopWatch:
    """Measures the longest processor time of one iteration of the event loop, in seconds."""

    def __init__(self) -> None:
        self.longest_seconds = 0.0

    async def __aenter__(self) -> "LoopWatch":
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *_: object) -> None:
        self._task.cancel()
        await asyncio.wait([self._task])

    async def _run(self) -> None:
        while True:
            started_at = time.thread_time()
            await asyncio.sleep(0)
            self.longest_seconds = max(self.longest_seconds, time.thread_time() - started_at)


class EndlessServer:
    """Answers the first request of each connection with a head and a piece without end."""

    def __init__(self, piece: bytes, status: int = 200) -> None:
        self.address = ""
        self.answered = 0
        self._head = HEAD % status
        self._block = chunk(piece) * max(1, BLOCK_BYTES // len(chunk(piece)))

    async def __aenter__(self) -> "EndlessServer":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            self.answered += 1
            writer.write(self._head)
            while True:
                writer.write(self._block)
                await writer.drain()
                await asyncio.sleep(0)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()


async def close_client(client: Http1Client | HttpClient) -> None:
    """Close a client of either interface."""
    if isinstance(client, HttpClient):
        await client.close()
    else:
        client.close()


async def upload(
    server: Http1Server, piece: bytes, count: float, local_host: str = "127.0.0.1"
) -> bytes:
    """Send a body in equal chunks; return the first line of the response."""
    host, _, port = server.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), local_addr=(local_host, 0))
    response = asyncio.create_task(reader.readline())
    writer.write(UPLOAD_HEAD)
    in_block = max(1, BLOCK_BYTES // len(chunk(piece)))
    try:
        sent = 0
        while sent < count:
            added = int(min(in_block, count - sent))
            writer.write(chunk(piece) * added)
            sent += added
            drained = asyncio.ensure_future(writer.drain())
            await asyncio.wait([drained, response], return_when=asyncio.FIRST_COMPLETED)
            await asyncio.sleep(0)
            if response.done():
                break
        else:
            writer.write(b"0\r\n\r\n")
        return await response
    finally:
        writer.transport.abort()
