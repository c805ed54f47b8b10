"""A proxy before a server that cuts off the connections of some processes."""

import os
import pathlib
import socket
import struct
import threading
import time

RESET_ON_CLOSE = struct.pack('ii', 1, 0)
NETLINK_SOCK_DIAG = 4


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
    """Ask for one socket over the socket monitoring interface, sock_diag(7)."""
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


class SocketOwners:
    """Tells whether a process holds a socket.

    One look at the processes answers all questions that came before it.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._pids = ()
        self._looked_s = 0.0
        self._inodes = set()

    def hold(self, pids, inode):
        """Return True if one of the processes holds the socket."""
        asked_s = time.monotonic()
        with self._lock:
            if self._pids != pids or self._looked_s <= asked_s:
                self._looked_s = time.monotonic()
                self._inodes = set().union(*map(list_sockets, pids))
                self._pids = pids
            return inode in self._inodes


OWNERS = SocketOwners()


class CutProxy:
    """Passes bytes on, and resets the connections of processes that are cut.

    :param endpoint: address of the server.
    """

    def __init__(self, endpoint):
        ip, _, port = endpoint.rpartition(':')
        self._target = ip, int(port)
        self._cut_pids = ()
        self._links = []
        self._lock = threading.Lock()
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=256)
        self.endpoint = f'127.0.0.1:{self._listener.getsockname()[1]}'
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self, pids):
        """Reset all connections of processes, and new ones from now on."""
        with self._lock:
            self._cut_pids = tuple(pids)
            links, self._links = self._links, []
        for sock, other in links:
            if self._is_cut(sock):
                reset(sock)
                reset(other)
            else:
                self._links.append((sock, other))

    def _is_cut(self, sock):
        pids = self._cut_pids
        if not pids:
            return False
        try:
            inode = find_inode(sock.getpeername(), sock.getsockname())
            return OWNERS.hold(pids, inode)
        except OSError:
            return False

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock):
        if self._is_cut(sock):
            reset(sock)
            return
        try:
            other = socket.create_connection(self._target)
        except OSError:
            reset(sock)
            return
        for item in (sock, other):
            item.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._lock:
            self._links.append((sock, other))
        threading.Thread(
            target=relay, args=(other, sock), daemon=True
        ).start()
        relay(sock, other)


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
