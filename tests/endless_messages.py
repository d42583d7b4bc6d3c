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
    """Answers each request with a head, then repeats some bytes until the client disconnects."""

    def __init__(self, head: bytes, repeated: bytes, pause_seconds: float = 0.0) -> None:
        self.address = ""
        self.answered = 0
        self.disconnected = asyncio.Event()
        self._head = head
        self._repeated = repeated
        self._pause_seconds = pause_seconds

    async def __aenter__(self) -> "EndlessServer":
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        self._listener.close()

    async def start(self) -> str:
        """Listen and return the address."""
        self._listener = await asyncio.start_server(self._respond, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._listener.sockets[0].getsockname()[1]}"
        return self.address

    async def _respond(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            self.answered += 1
            writer.write(self._head)
            while True:
                writer.write(self._repeated)
                await writer.drain()
                await asyncio.sleep(self._pause_seconds)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.disconnected.set()
        finally:
            writer.transport.abort()


def endless_chunks(piece: bytes, status: int = 200) -> EndlessServer:
    """Return a server that repeats a piece as a chunk, in blocks of many."""
    block = chunk(piece) * max(1, BLOCK_BYTES // len(chunk(piece)))
    return EndlessServer(HEAD % status, block)


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
