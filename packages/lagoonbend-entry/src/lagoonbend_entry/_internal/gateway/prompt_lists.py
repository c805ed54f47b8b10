"""Reads the lists of the prompts that targets keep."""

from collections.abc import Callable
from collections.abc import Iterable
import functools

import gevent
import gevent.event

from lagoonbend.exceptions import NetworkError
from lagoonbend.facts import KeptPrompts
from lagoonbend.facts import ListedTarget
from lagoonbend_entry._internal.gateway import target_connection
from lagoonbend_entry._internal.gateway import target_error
from lagoonbend_entry._internal.platform import call_headers
from lagoonbend_entry._internal.platform import names
from lagoonbend_entry._internal.platform import prompt_codec

IDLE_TIMEOUT_MS = 200
"""Time without a part of any list after which silent targets aren't waited
for; a round trip between failure domains takes about 3 ms."""
MAX_SURVEY_MS = 1_200
"""Time for all lists to arrive. They share the link of this instance, at
5 Mbit/s and more; callers give a stream up after two seconds."""
MAX_LIST_BYTES = 4 * 1024 * 1024
"""Limit on one answer; 550,000 tokens in blocks of 16 make about 1 MB."""
HTTP_OK = 200
HTTP_MISDIRECTED = 421
MILLISECONDS_PER_SECOND = 1000


def read_kept_prompts(targets: Iterable[ListedTarget]) -> list[KeptPrompts]:
    """Ask targets at the same time which prompts they keep.

    Silent targets are waited for as long as other lists go on arriving. A list
    of which a part has arrived is on its way, also while nothing comes.

    :returns: the answers in the order of the targets, those of silent ones
        included.
    """
    progress = gevent.event.Event()
    arriving: set[ListedTarget] = set()
    missing: set[gevent.Greenlet] = set()

    def record_part(target: ListedTarget) -> None:
        arriving.add(target)
        progress.set()

    def finish(target: ListedTarget, reader: gevent.Greenlet) -> None:
        arriving.discard(target)
        missing.discard(reader)
        progress.set()

    readers = []
    for target in targets:
        reader = gevent.spawn(
            _read_list, target, functools.partial(record_part, target)
        )
        reader.link(functools.partial(finish, target))
        missing.add(reader)
        readers.append((target, reader))
    with gevent.Timeout(MAX_SURVEY_MS / MILLISECONDS_PER_SECOND, False):
        while missing and (
            progress.wait(IDLE_TIMEOUT_MS / MILLISECONDS_PER_SECOND)
            or arriving
        ):
            progress.clear()
    gevent.killall(missing, block=False)
    return [
        reader.value if reader.successful() else KeptPrompts(target, None)
        for target, reader in readers
    ]


def _read_list(
    target: ListedTarget, on_progress: Callable[[], None]
) -> KeptPrompts:
    """Return the tokens that a target keeps of each block.

    A leaving target that doesn't listen any more has ended. So has one if
    another target, or a later life of it, answers at its address. Not all
    state the start of their life.
    """
    address = (target.ip, target.port)
    host = '{}:{}'.format(*address)
    request = target_connection.encode_request(
        'GET',
        names.KEPT_BLOCKS_PATH,
        call_headers.encode_target_headers(
            [('Host', host)],
            (),
            target=target.target,
            customer='',
            deadline_ms=MAX_SURVEY_MS,
            last_event=None,
        ),
        b'',
    )
    body = bytearray()
    try:
        # A kept connection may still bring answers to earlier calls.
        connection = target_connection.TargetConnection.connect(
            address, MAX_SURVEY_MS
        )
        try:
            connection.send(request, MAX_SURVEY_MS)
            answer = connection.read_head(MAX_SURVEY_MS)
            on_progress()
            for chunk in connection.read_body(answer, MAX_SURVEY_MS):
                body += chunk
                on_progress()
                if len(body) > MAX_LIST_BYTES:
                    raise target_error.BadAnswerError(
                        'list of blocks too large'
                    )
        finally:
            connection.close()
    except target_error.TargetAbsentError:
        if target.is_leaving:
            return KeptPrompts(target, {}, has_ended=True)
        return KeptPrompts(target, None)
    except NetworkError:
        return KeptPrompts(target, None)
    if answer.status == HTTP_MISDIRECTED:
        return KeptPrompts(target, {}, has_ended=True)
    kept = (
        prompt_codec.decode_kept_blocks(bytes(body))
        if answer.status == HTTP_OK
        else None
    )
    if kept is None:
        return KeptPrompts(target, None)
    if (
        kept.born_ms is not None
        and target.born_ms is not None
        and kept.born_ms > target.born_ms
    ):
        return KeptPrompts(target, {}, has_ended=True)
    return KeptPrompts(target, kept.tokens_by_block)
