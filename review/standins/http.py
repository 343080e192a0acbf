"""A minimal HTTP/1.1 server and client on asyncio, as the users' pages describe it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import NamedTuple

READ_BYTES = 65_536


class Request(NamedTuple):
    """A request as it arrived; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Response(NamedTuple):
    """A response; ``headers`` are added to the length of the body."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


class Stream(NamedTuple):
    """A response with status 200 whose pieces are sent in chunks."""

    pieces: AsyncIterator[bytes]
    headers: tuple[tuple[str, str], ...] = ()


Handler = Callable[[Request], Awaitable[Response | Stream | None]]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message, None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return lines[0], {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, None at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    line, headers = head
    method, target, _ = line.split(" ", 2)
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def encode_response(response: Response) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {response.status} Status"]
    lines += [f"{name}: {value}" for name, value in response.headers]
    lines.append(f"Content-Length: {len(response.body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + response.body


async def send_stream(writer: asyncio.StreamWriter, stream: Stream) -> None:
    """Send a stream in chunks, until the connection is closed."""
    lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
    lines += [f"{name}: {value}" for name, value in stream.headers]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))
    async for piece in stream.pieces:
        if writer.is_closing():
            raise ConnectionResetError
        writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
        await writer.drain()
    if not writer.is_closing():
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Listener:
    """A server on a loopback address that answers with ``handle``.

    ``handle`` returns None to close the connection without an answer.
    """

    def __init__(self, handle: Handler, host: str = "127.0.0.1"):
        self._handle = handle
        self._host = host
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def open(self, port: int = 0) -> None:
        """Listen on a port, by default on a free one."""
        self._server = await asyncio.start_server(
            self._serve, self._host, port, limit=1 << 20
        )
        self.address = f"{self._host}:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while request := await read_request(reader):
                response = await self._handle(request)
                if response is None:
                    return
                if isinstance(response, Stream):
                    await send_stream(writer, response)
                    continue
                writer.write(encode_response(response))
                await writer.drain()
                if ("Connection", "close") in response.headers:
                    return
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def fetch(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout: float = 4.0,
) -> Response | None:
    """Send one request on a new connection; return the answer, None if there is none.

    The answer has to have a length.
    """
    host, port = address.split(":")
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    data = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return None
            line, received = head
            length = int(received.get("content-length", "0"))
            content = await reader.readexactly(length)
            return Response(int(line.split(" ")[1]), content, tuple(received.items()))
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


class StreamAnswer(NamedTuple):
    """What arrived of a stream."""

    status: int
    body: bytes
    is_complete: bool


async def fetch_stream(
    address: str, target: str, headers: dict[str, str], body: bytes, timeout: float
) -> StreamAnswer:
    """Send one request on a new connection, and read its answer in chunks."""
    host, port = address.split(":")
    lines = [f"POST {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    data = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
    status, received, writer = 0, b"", None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            head = await read_head(reader)
            if head is None:
                return StreamAnswer(0, b"", False)
            status = int(head[0].split(" ")[1])
            if "transfer-encoding" not in head[1]:
                length = int(head[1].get("content-length", "0"))
                return StreamAnswer(status, await reader.readexactly(length), True)
            while size := int((await reader.readuntil(b"\r\n")).strip() or b"0", 16):
                received += (await reader.readexactly(size + 2))[:-2]
            return StreamAnswer(status, received, True)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return StreamAnswer(status, received, False)
    finally:
        if writer is not None:
            writer.close()


class KeptChannel:
    """A client's connection that is kept for many requests."""

    def __init__(self, address: str):
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.uses = 0

    async def open(self, timeout: float = 1.0) -> bool:
        """Connect; return whether that worked."""
        host, port = self._address.split(":")
        self.close()
        try:
            async with asyncio.timeout(timeout):
                self._reader, self._writer = await asyncio.open_connection(
                    host, int(port)
                )
        except (OSError, TimeoutError):
            return False
        return True

    async def ask(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
        timeout: float = 4.0,
    ) -> Response | None:
        """Send a request and return its answer, None if the channel was closed.

        :raises TimeoutError: if nothing came in time.
        """
        assert self._reader is not None
        assert self._writer is not None
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        data = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
        try:
            async with asyncio.timeout(timeout):
                self._writer.write(data)
                await self._writer.drain()
                head = await read_head(self._reader)
                if head is None:
                    return None
                line, received = head
                length = int(received.get("content-length", "0"))
                content = await self._reader.readexactly(length)
        except TimeoutError:
            raise
        except (OSError, asyncio.IncompleteReadError):
            return None
        self.uses += 1
        return Response(int(line.split(" ")[1]), content, tuple(received.items()))

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
        self.uses = 0
