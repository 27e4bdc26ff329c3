"""A loopback proxy in front of the mesh listener of each process. It finds out
which process opened a connection, so that it can delay, reset or block the bytes
from one process to another, in one direction or both."""

import asyncio
import os

CHUNK_BYTES = 65536


def process_owning_port(port, pids):
    """The name of the process in `pids` that owns the TCP connection from a local port."""
    inode = None
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in list(table)[1:]:
            fields = line.split()
            if int(fields[1].rsplit(":", 1)[1], 16) == port and fields[3] == "01":
                inode = "socket:[%s]" % fields[9]
                break
    for name, pid in pids.items():
        directory = "/proc/%d/fd" % pid
        try:
            for entry in os.listdir(directory):
                if os.readlink(os.path.join(directory, entry)) == inode:
                    return name
        except OSError:
            continue  # the process ended or closed the descriptor
    return None


class MeshLinks:
    """The proxies of a fleet and the faults between its processes."""

    def __init__(self, pids):
        self.pids = pids  # returns {name: pid} of the running processes
        self.blocked, self.delays_s = set(), {}
        self.connections = {}
        self.servers = []

    async def listen(self, name, ip, port, target_port):
        async def accept(reader, writer):
            try:
                await self.forward(name, ip, target_port, reader, writer)
            except asyncio.CancelledError:
                writer.close()  # the test ends

        self.servers.append(await asyncio.start_server(accept, ip, port))

    def block(self, source, target):
        """Holds back all bytes from source to target and keeps the connections open."""
        self.blocked.add((source, target))

    def delay(self, source, target, delay_s):
        self.delays_s[(source, target)] = delay_s

    def clear_faults(self):
        self.blocked.clear()
        self.delays_s.clear()

    def reset(self, name):
        """Resets all connections from and to a process."""
        for (source, target), writers in self.connections.items():
            if name in (source, target):
                for writer in list(writers):
                    writer.transport.abort()

    async def forward(self, target, ip, port, reader, writer):
        source = process_owning_port(writer.get_extra_info("peername")[1], self.pids())
        try:
            target_reader, target_writer = await asyncio.open_connection(ip, port)
        except OSError:
            writer.close()
            return
        writers = self.connections.setdefault((source, target), set())
        writers.update((writer, target_writer))
        await asyncio.gather(self.copy_bytes(reader, target_writer, source, target),
                             self.copy_bytes(target_reader, writer, target, source))
        writers.difference_update((writer, target_writer))

    async def copy_bytes(self, reader, writer, source, target):
        try:
            while True:
                chunk = await reader.read(CHUNK_BYTES)
                if not chunk:
                    break
                while (source, target) in self.blocked:
                    await asyncio.sleep(0.05)
                delay_s = self.delays_s.get((source, target))
                if delay_s:
                    await asyncio.sleep(delay_s)
                writer.write(chunk)
                await writer.drain()
        except OSError:
            pass  # one side was reset; closing the writer below tells the other
        writer.close()
