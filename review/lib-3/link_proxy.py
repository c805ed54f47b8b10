"""A proxy before a server, behind which each process has a link of its own."""

import multiprocessing
import os
import pathlib
import socket
import struct
import threading
import time

RESET_ON_CLOSE = struct.pack('ii', 1, 0)
NETLINK_SOCK_DIAG = 4
PACKET = 1_400
"""Bytes of a packet."""
AHEAD_S = 0.002
"""Time by which a sender may be ahead, as sleeps take longer than asked."""


def list_sockets(pid):
    """Return the inodes of the sockets of a process."""
    inodes = set()
    folder = os.open(f'/proc/{pid}/fd', os.O_RDONLY)
    try:
        for name in os.listdir(folder):
            try:
                target = os.readlink(name, dir_fd=folder)
            except OSError:
                continue
            if target.startswith('socket:['):
                inodes.add(target[8:-1])
    finally:
        os.close(folder)
    return inodes


def find_inode(local, peer):
    """Return the inode of a connection's socket from its two addresses."""
    try:
        return ask_kernel(local, peer)
    except OSError:
        return find_in_table(local, peer)


def ask_kernel(local, peer):
    """Ask for one socket over the monitoring interface, sock_diag(7)."""
    identity = struct.pack(
        '>HH4s12x4s12xI8s',
        local[1],
        peer[1],
        socket.inet_aton(local[0]),
        socket.inet_aton(peer[0]),
        0,
        b'\xff' * 8,
    )
    request = struct.pack('=BBBBI', socket.AF_INET, 6, 0, 0, 0xFFFFFFFF)
    request += identity
    head = struct.pack('=IHHII', 16 + len(request), 20, 1, 1, 0)
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG
    ) as link:
        link.settimeout(1)
        link.send(head + request)
        answer = link.recv(8192)
    (kind,) = struct.unpack_from('=H', answer, 4)
    if kind != 20:
        return ''
    return str(struct.unpack_from('=I', answer, 16 + 4 + 48 + 16)[0])


def find_in_table(local, peer):
    """Return the inode from the table of all connections."""
    wanted = [
        f'{socket.inet_aton(ip)[::-1].hex().upper()}:{port:04X}'
        for ip, port in (local, peer)
    ]
    for line in pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1:3] == wanted:
            return fields[9]
    return ''


class Links:
    """The links of some processes, for proxies in several processes.

    :param mbit_s: bandwidth of each link.
    :param count: number of links.
    """

    def __init__(self, mbit_s, count):
        self._bytes_per_s = mbit_s * 1_000_000 / 8
        self._free_s = multiprocessing.Array('d', count)
        self._pids = multiprocessing.Array('i', count)
        self._owners = {}
        self._looked_s = 0.0
        self._owners_lock = threading.Lock()

    def set_pids(self, pids):
        """Set the process at each link."""
        self._pids[:] = pids

    def find_owner(self, sock):
        """Return the number of the link of a connection, or None."""
        asked_s = time.monotonic()
        try:
            inode = find_inode(sock.getpeername(), sock.getsockname())
        except OSError:
            return None
        with self._owners_lock:
            if self._looked_s <= asked_s:
                self._looked_s = time.monotonic()
                self._owners = {}
                for number, pid in enumerate(self._pids[:]):
                    try:
                        inodes = list_sockets(pid)
                    except OSError:
                        continue
                    self._owners |= dict.fromkeys(inodes, number)
            return self._owners.get(inode)

    def wait(self, number, size):
        """Wait until a packet has passed a link."""
        if number is None:
            return
        now_s = time.monotonic()
        with self._free_s.get_lock():
            free_s = max(now_s, self._free_s[number])
            free_s += size / self._bytes_per_s
            self._free_s[number] = free_s
        if free_s - now_s > AHEAD_S:
            time.sleep(free_s - now_s - AHEAD_S / 2)


class LinkProxy:
    """Passes bytes on, those to a process at the pace of its link.

    :param endpoint: address of the server.
    :param links: links of the processes that connect.
    """

    def __init__(self, endpoint, links):
        ip, _, port = endpoint.rpartition(':')
        self._target = ip, int(port)
        self._links = links
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=256)
        self.endpoint = f'127.0.0.1:{self._listener.getsockname()[1]}'
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock):
        try:
            other = socket.create_connection(self._target)
        except OSError:
            reset(sock)
            return
        for item in (sock, other):
            item.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(
            target=relay, args=(sock, other), daemon=True
        ).start()
        number = self._links.find_owner(sock)
        try:
            while data := other.recv(PACKET):
                self._links.wait(number, len(data))
                sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            reset(sock)
            reset(other)


def relay(source, sink):
    """Pass bytes on until one side ends."""
    try:
        while data := source.recv(65536):
            sink.sendall(data)
        sink.shutdown(socket.SHUT_WR)
    except OSError:
        reset(source)
        reset(sink)


def reset(sock):
    """Close a connection with a reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        sock.shutdown(socket.SHUT_RD)
    except OSError:
        pass
    sock.close()
