"""Calls that end the targets which run them, as faults of the soak."""

from collections.abc import Callable
import time

import gevent

from lagoonbend_devkit._internal.soak.caller_request import CallerRequest
from lagoonbend_devkit._internal.soak.soak_caller import connect
from lagoonbend_devkit._internal.soak.soak_caller import exchange_calls
from lagoonbend_devkit._internal.soak.soak_caller import SOUND_BLOCKS
from lagoonbend_devkit._internal.soak.soak_caller import STREAM_ROUTES
from lagoonbend_devkit._internal.soak.soak_faults import CRASHING
from lagoonbend_devkit._internal.soak.soak_faults import CRASHING_REQUESTS
from lagoonbend_devkit._internal.soak.soak_faults import ENGINE_SERVICE
from lagoonbend_devkit._internal.soak.soak_faults import FaultContext
from lagoonbend_devkit._internal.soak.soak_faults import PLAIN_SERVICE
from lagoonbend_devkit._internal.soak.soak_faults import register_fault

CALM_SHARE = 0.15
CRASHING_SHARE = 0.7
"""Shares of the soak before such prompts are sent, and while they are."""
REQUEST_INTERVAL_S = (0.1, 0.2)
PLAIN_ROUTES = ('look-up', 'booking')
SPARE_ENGINE_COUNT = 4
SPARE_SERVER_COUNT = 2
"""Targets that are started for it, since five engines, or three servers, have
to end before the users' rules count."""


@register_fault('send_crashing_prompts', CRASHING)
def send_crashing_prompts(context: FaultContext) -> None:
    """Send requests with a new block that ends each engine that begins one."""
    gevent.sleep(CALM_SHARE * context.fault_period_s)
    with context.crash_lock:
        context.start_spares(ENGINE_SERVICE, SPARE_ENGINE_COUNT)
        block = f'bad{len(context.fleet.crashes)}'
        context.fleet.set_crashing_block(block)
        _send_repeatedly(
            context,
            lambda attempt: CallerRequest(
                context.rng.choice(STREAM_ROUTES),
                attempt,
                blocks=(*SOUND_BLOCKS, block),
            ),
            block,
        )


@register_fault('send_crashing_request', CRASHING_REQUESTS)
def send_crashing_request(context: FaultContext) -> None:
    """Repeat a request that ends each server which runs it."""
    gevent.sleep(CALM_SHARE * context.fault_period_s)
    with context.request_crash_lock:
        context.start_spares(PLAIN_SERVICE, SPARE_SERVER_COUNT)
        route = context.rng.choice(PLAIN_ROUTES)
        item = f'crash{len(context.fleet.crashes)}'
        context.fleet.set_crashing_path(f'/{route}/{item}')
        _send_repeatedly(
            context,
            lambda attempt: CallerRequest(
                route, attempt, item=item, body=item.encode()
            ),
            item,
        )


def _send_repeatedly(
    context: FaultContext,
    build_request: Callable[[str], CallerRequest],
    prefix: str,
) -> None:
    """Send such requests to any instance; none waits for an answer.

    :param prefix: begin of the identities of their attempts.
    """
    end_s = time.monotonic() + CRASHING_SHARE * context.fault_period_s
    greenlets: list[gevent.Greenlet] = []
    while time.monotonic() < end_s:
        request = build_request(f'{prefix}-{len(greenlets)}')
        greenlets.append(gevent.spawn(_send, context, request))
        gevent.sleep(context.rng.uniform(*REQUEST_INTERVAL_S))
    gevent.joinall(greenlets, raise_error=True)


def _send(context: FaultContext, request: CallerRequest) -> None:
    instance = context.choose_instance()
    connection = connect(context.fleet, instance)
    (call,) = exchange_calls(connection, instance, [request])
    connection.close()
    context.crashing_calls.append(call)
