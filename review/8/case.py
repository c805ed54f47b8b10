"""A server's body without end stops all other work of a machine."""

import pathlib
import socket
import sys
import threading
import time
import traceback

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / 'lib-2'))
import standins  # noqa: E402

TIMEOUT_MS = 800
LATE_S = (TIMEOUT_MS + 500) / 1000
DEADLINE_S = 4.0
PROBES = 25
PROBE_GAP_S = 0.2
GIVE_UP_S = 6.0
"""Four times the objective of the stream: the longest gap that its client
bears before the first event."""
FLOOD_BITS_PER_S = 40_000_000
"""A twenty-fifth of the link of a machine of the small deployments."""
PIECE = b'\n' * 12_500


def flood(server, request, sock):
    """Answer with a sound head, and bytes that are no event without end."""
    server.record.write(f'server {server.name} sends bytes without end')
    sock.sendall(server.head(request, more=('Content-Type: text/event-stream',)))
    started_s, sent = time.monotonic(), 0
    try:
        while True:
            sock.sendall(PIECE)
            sent += len(PIECE)
            ahead_s = sent * 8 / FLOOD_BITS_PER_S - (
                time.monotonic() - started_s
            )
            time.sleep(max(0.0, ahead_s))
    except OSError:
        server.record.write(
            f'server {server.name}: the caller has closed after '
            f'{time.monotonic() - started_s:.1f} s and {sent} bytes'
        )
    return False


def read_stream(port, attempt, record):
    """Read a stream as a client does, which gives up without any event."""
    sock = socket.create_connection(('127.0.0.1', port), timeout=1.0)
    headers = standins.client_headers(attempt, 15_000)
    head = 'POST /chat/stream/1 HTTP/1.1\r\n' + ''.join(
        f'{name}: {value}\r\n' for name, value in headers.items()
    )
    body = b'a prompt'
    sock.sendall(f'{head}Content-Length: {len(body)}\r\n\r\n'.encode() + body)
    record.write(f'client sends {attempt}, a stream')
    end_s = time.monotonic() + GIVE_UP_S
    data = b''
    has_event = False
    size = 0
    while time.monotonic() < end_s:
        try:
            part = sock.recv(65_536)
        except TimeoutError:
            continue
        except OSError as error:
            record.write(f'{attempt}: {error!r}')
            break
        if not part:
            break
        size += len(part)
        data = (data + part)[-200:]
        has_event = has_event or b'data: ' in part
        if data.endswith(b'0\r\n\r\n') and has_event:
            break
    record.write(
        f'client closes {attempt} after {size} bytes, '
        f'{"with" if has_event else "without"} an event'
    )
    sock.close()


def ask(port, attempt, results, record):
    """Send a request whose server is sound; note when it is answered."""
    started_s = time.monotonic()
    try:
        status, _, _ = standins.call(
            port,
            'GET',
            '/desk/1',
            standins.client_headers(attempt, int(DEADLINE_S * 1000)),
            DEADLINE_S,
        )
        text = str(status)
    except OSError as error:
        text = type(error).__name__
    took_s = time.monotonic() - started_s
    results.append((text, took_s))
    record.write(f'client has {text} to {attempt} after {took_s:.3f} s')


def main():
    record = standins.Record(CASE / 'record.txt')
    store = standins.Store()
    chat = [standins.Server(f'chat-{n}', 'chat', record) for n in range(2)]
    desk = [standins.Server(f'desk-{n}', 'desk', record) for n in range(2)]
    if standins.is_disrupted():
        chat[0].behave = flood
    for server in (*chat, *desk):
        store.put(f'servers/{server.name}', server.entry())
    routes = [
        standins.make_route(
            'chat',
            'chat',
            'streaming',
            **{
                'timeout-ms': 15_000,
                'target-latency-ms': 1_500,
                'gap-target-ms': 400,
                'max-attempts': 1,
            },
        ),
        standins.make_route('desk', 'desk', 'safe', **{'timeout-ms': TIMEOUT_MS}),
    ]
    store.put(
        'op/config',
        standins.make_config(1, routes, {'chat': {}, 'desk': {}}),
    )
    fleet = standins.Fleet(2, store, record)
    try:
        if not fleet.wait_ready():
            record.write('the machines are not ready')
            return 2
        time.sleep(4.0)
        port = fleet.callers_port(0)
        for number in range(20):
            threading.Thread(
                target=read_stream,
                args=(port, f'stream-{number}', record),
                daemon=True,
            ).start()
            time.sleep(0.3)
            if chat[0].runs:
                break
        else:
            record.write('no stream reached the first server')
            return 2
        results, threads = [], []
        for number in range(PROBES):
            thread = threading.Thread(
                target=ask, args=(port, f'probe-{number}', results, record)
            )
            thread.start()
            threads.append(thread)
            time.sleep(PROBE_GAP_S)
        other = []
        ask(fleet.callers_port(1), 'probe-at-the-other-machine', other, record)
        for thread in threads:
            thread.join()
        unanswered = [
            took_s for _, took_s in results if took_s > TIMEOUT_MS / 1000
        ]
        late = [took_s for took_s in unanswered if took_s > LATE_S]
        record.end(
            f'{len(results)} requests to the sound service: {len(unanswered)} '
            f'unanswered at {TIMEOUT_MS} ms, {len(late)} of them half a second '
            f'later; the longest took {max(t for _, t in results):.1f} s'
        )
        is_broken = len(late) >= 8 and len(late) > len(unanswered) / 2
        return 1 if is_broken else 0
    finally:
        fleet.stop()


if __name__ == '__main__':
    try:
        CODE = main()
    except Exception:
        traceback.print_exc()
        CODE = 2
    sys.stdout.flush()
    import os

    os._exit(CODE)
