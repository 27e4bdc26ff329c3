"""HTTP/1.1 messages over asyncio streams, as far as the soak needs them. The
soak speaks it by hand because it has to break it at will."""

import asyncio


class Broken(Exception):
    """The connection ended or the bytes are no message."""


async def read_head(reader):
    """Returns the first line and the headers, names in lower case."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError) as error:
        raise Broken(str(error)) from None
    first, *lines = text.split("\r\n")
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers, on_piece=None):
    """Returns the whole body; calls on_piece for each part that arrives."""
    parts = []

    def take(piece):
        parts.append(piece)
        if on_piece:
            on_piece(piece)

    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip().split(b";")[0], 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    break
                take(piece[:-2])
        elif "content-length" in headers:
            take(await reader.readexactly(int(headers["content-length"])))
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError, OSError) as error:
        raise Broken(str(error)) from None
    return b"".join(parts)


def request_bytes(method, path, headers, body=b""):
    lines = ["%s %s HTTP/1.1" % (method, path)]
    lines += ["%s: %s" % item for item in headers.items()]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def answer_bytes(status, headers, body=b""):
    lines = ["HTTP/1.1 %d X" % status]
    lines += ["%s: %s" % item for item in headers.items()]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(address, method, path, headers=None, body=b"", timeout=2.0):
    """One request on a connection of its own; returns status, headers, body."""
    host, port = address.rsplit(":", 1)

    async def talk():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(request_bytes(method, path, dict({"Host": "x"}, **(headers or {})), body))
            first, got = await read_head(reader)
            return int(first.split()[1]), got, await read_body(reader, got)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(talk(), timeout)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError) as error:
        raise Broken(repr(error)) from None
