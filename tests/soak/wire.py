"""HTTP/1.1 messages over asyncio streams. The soak test does not use an HTTP
library, because its upstreams have to send truncated and unrequested responses."""

import asyncio


class ProtocolError(Exception):
    """The connection failed or the bytes are not a valid HTTP message."""


async def read_head(reader):
    """Returns the start line and the headers, with names in lower case."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError) as error:
        raise ProtocolError(str(error)) from None
    start_line, *lines = text.split("\r\n")
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return start_line, headers


async def read_body(reader, headers, on_chunk=None):
    """Returns the whole body; calls on_chunk for each chunk that arrives."""
    parts = []

    def add_chunk(chunk):
        parts.append(chunk)
        if on_chunk:
            on_chunk(chunk)

    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip().split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                add_chunk(chunk[:-2])
        elif "content-length" in headers:
            add_chunk(await reader.readexactly(int(headers["content-length"])))
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError, OSError) as error:
        raise ProtocolError(str(error)) from None
    return b"".join(parts)


def request_bytes(method, path, headers, body=b""):
    lines = ["%s %s HTTP/1.1" % (method, path)]
    lines += ["%s: %s" % item for item in headers.items()]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def response_bytes(status, headers, body=b""):
    lines = ["HTTP/1.1 %d X" % status]
    lines += ["%s: %s" % item for item in headers.items()]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def send_request(address, method, path, headers=None, body=b"", timeout=2.0):
    """Sends one request on a new connection; returns status, headers and body."""
    host, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(request_bytes(method, path, dict({"Host": "x"}, **(headers or {})), body))
            start_line, response_headers = await read_head(reader)
            return (int(start_line.split()[1]), response_headers,
                    await read_body(reader, response_headers))
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError) as error:
        raise ProtocolError(repr(error)) from None
