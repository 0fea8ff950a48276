"""Measures the memory and the descriptors of daemons while clients misbehave.

The memory of a machine holds two things: the resident memory of the process, whose peak the kernel keeps (VmHWM), and
the bytes that have arrived and that the process has not read yet. These are the receive queues in /proc/net/tcp of the
sockets that the process has open, and of the connections to its ports that it has not accepted yet; they are sampled.
`memory_mb()` adds both peaks, so it is at least the peak of the sum."""
import os
import pathlib

LISTENING = "0A"
BYTES_PER_MB = 1_000_000


def read_receive_queues():
    """Returns a list of (local port, inode, unread bytes) for the sockets with unread bytes."""
    queues = []
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        unread = int(fields[4].split(":")[1], 16)
        if unread and fields[3] != LISTENING:
            queues.append((int(fields[1].split(":")[1], 16), fields[9], unread))
    return queues


class ProcessWatch:
    """Watches the process of an entry VM."""

    def __init__(self, vm):
        self.process = vm.process
        addresses = (vm.caller_address, vm.readiness_address, vm.peer_address, vm.operator_address)
        self.ports = {int(address.rsplit(":", 1)[1]) for address in addresses}
        self.peak_descriptors = 0
        self.peak_unread_bytes = 0
        # As of the last sample; the process may have ended since.
        self.last_memory_mb = 0.0

    def sample(self, queues=None):
        if not self.lives():
            return
        inodes = self.open_sockets()
        queues = read_receive_queues() if queues is None else queues
        unread = sum(size for port, inode, size in queues if port in self.ports or inode in inodes)
        self.peak_unread_bytes = max(self.peak_unread_bytes, unread)
        self.last_memory_mb = self.memory_mb()

    def open_sockets(self):
        """Returns the inodes of the sockets, and counts the descriptors."""
        inodes, count = set(), 0
        with os.scandir(f"/proc/{self.process.pid}/fd") as entries:
            for entry in entries:
                count += 1
                try:
                    target = os.readlink(entry.path)
                except OSError:
                    continue
                if target.startswith("socket:["):
                    inodes.add(target[len("socket:["):-1])
        self.peak_descriptors = max(self.peak_descriptors, count)
        return inodes

    def lives(self):
        return self.process.poll() is None

    def status_mb(self, field):
        """A field of the process's status: VmRSS is the resident memory, VmHWM its peak."""
        for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1]) * 1024 / BYTES_PER_MB
        return 0.0

    def memory_mb(self):
        return self.status_mb("VmHWM") + self.peak_unread_bytes / BYTES_PER_MB

    def bounds_exceeded(self, memory_mb, file_descriptors):
        """Lists the bounds that the process has exceeded; of one that has ended, as of the last sample."""
        exceeded = []
        if (self.memory_mb() if self.lives() else self.last_memory_mb) > memory_mb:
            exceeded.append("memory")
        if self.peak_descriptors > file_descriptors:
            exceeded.append("descriptors")
        return exceeded

    def figures(self):
        return {"memory_mb": round(self.memory_mb(), 1), "unread_mb": round(self.peak_unread_bytes / BYTES_PER_MB, 1),
                "rss_after_mb": round(self.status_mb("VmRSS"), 1), "descriptors": self.peak_descriptors}
