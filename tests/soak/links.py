"""A loopback proxy before the mesh listener of each process. It knows which
process dialled, so that it can delay, reset or silence what goes from one
process to another, in one direction or both."""

import asyncio
import os

PIECE = 65536


def owner_of(port, pids):
    """The process among pids that has a TCP connection from a local port."""
    inode = None
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in list(table)[1:]:
            fields = line.split()
            if int(fields[1].rsplit(":", 1)[1], 16) == port and fields[3] == "01":
                inode = "socket:[%s]" % fields[9]
                break
    for name, pid in pids.items():
        folder = "/proc/%d/fd" % pid
        try:
            for entry in os.listdir(folder):
                if os.readlink(os.path.join(folder, entry)) == inode:
                    return name
        except OSError:
            continue  # the process or the descriptor has gone meanwhile
    return None


class MeshLinks:
    """All proxies of a fleet, and the faults between its processes."""

    def __init__(self, pids):
        self.pids = pids  # returns {name: pid} of the living processes
        self.silent, self.slow = set(), {}
        self.open = {}
        self.servers = []

    async def listen(self, name, ip, port, target_port):
        async def accept(reader, writer):
            try:
                await self.forward(name, ip, target_port, reader, writer)
            except asyncio.CancelledError:
                writer.close()  # the soak ends

        self.servers.append(await asyncio.start_server(accept, ip, port))

    def cut(self, source, target):
        """Nothing more arrives from source at target; no end is told."""
        self.silent.add((source, target))

    def delay(self, source, target, seconds):
        self.slow[(source, target)] = seconds

    def heal(self):
        self.silent.clear()
        self.slow.clear()

    def reset(self, name):
        """Resets all connections from and to a process."""
        for (source, target), writers in self.open.items():
            if name in (source, target):
                for writer in list(writers):
                    writer.transport.abort()

    async def forward(self, target, ip, port, reader, writer):
        source = owner_of(writer.get_extra_info("peername")[1], self.pids())
        try:
            back_reader, back_writer = await asyncio.open_connection(ip, port)
        except OSError:
            writer.close()
            return
        writers = self.open.setdefault((source, target), set())
        writers.update((writer, back_writer))
        await asyncio.gather(self.pump(reader, back_writer, source, target),
                             self.pump(back_reader, writer, target, source))
        writers.difference_update((writer, back_writer))

    async def pump(self, reader, writer, source, target):
        try:
            while True:
                piece = await reader.read(PIECE)
                if not piece:
                    break
                while (source, target) in self.silent:
                    await asyncio.sleep(0.05)
                seconds = self.slow.get((source, target))
                if seconds:
                    await asyncio.sleep(seconds)
                writer.write(piece)
                await writer.drain()
        except OSError:
            pass  # either side was reset; the other one learns it below
        writer.close()
