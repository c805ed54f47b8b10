"""Prompts that end the engines which answer them, as a fault of the soak."""

import time

import gevent

from lagoonbend_devkit._internal.soak.caller_request import CallerRequest
from lagoonbend_devkit._internal.soak.soak_caller import connect
from lagoonbend_devkit._internal.soak.soak_caller import exchange_calls
from lagoonbend_devkit._internal.soak.soak_caller import SOUND_BLOCKS
from lagoonbend_devkit._internal.soak.soak_caller import STREAM_ROUTES
from lagoonbend_devkit._internal.soak.soak_faults import CRASHING
from lagoonbend_devkit._internal.soak.soak_faults import ENGINE_SERVICE
from lagoonbend_devkit._internal.soak.soak_faults import FaultContext
from lagoonbend_devkit._internal.soak.soak_faults import register_fault
from lagoonbend_devkit._internal.soak.target_period import TargetPeriod

CALM_SHARE = 0.15
CRASHING_SHARE = 0.7
"""Shares of the soak before such prompts are sent, and while they are."""
REQUEST_INTERVAL_S = (0.1, 0.2)
SPARE_ENGINE_COUNT = 4
"""Engines that are started for it, since five have to end before the users'
rules count."""


@register_fault('send_crashing_prompts', CRASHING)
def send_crashing_prompts(context: FaultContext) -> None:
    """Send requests with a new block that ends each engine that begins one."""
    gevent.sleep(CALM_SHARE * context.fault_period_s)
    with context.crash_lock:
        if not context.crashing_calls:
            _start_spare_engines(context)
        block = f'bad{len(context.fleet.crashes)}'
        context.fleet.set_crashing_block(block)
        end_s = time.monotonic() + CRASHING_SHARE * context.fault_period_s
        greenlets: list[gevent.Greenlet] = []
        while time.monotonic() < end_s:
            number = len(context.crashing_calls) + len(greenlets)
            greenlets.append(
                gevent.spawn(_send, context, block, f'{block}-{number}')
            )
            gevent.sleep(context.rng.uniform(*REQUEST_INTERVAL_S))
        gevent.joinall(greenlets, raise_error=True)


def _start_spare_engines(context: FaultContext) -> None:
    for number in range(SPARE_ENGINE_COUNT):
        name = f'{ENGINE_SERVICE}-spare{number}'
        target = context.fleet.add_target(name, ENGINE_SERVICE)
        context.target_periods[name] = TargetPeriod(
            ENGINE_SERVICE, target.version, time.monotonic()
        )


def _send(context: FaultContext, block: str, attempt: str) -> None:
    instance = context.choose_instance()
    request = CallerRequest(
        context.rng.choice(STREAM_ROUTES),
        attempt,
        blocks=(*SOUND_BLOCKS, block),
    )
    connection = connect(context.fleet, instance)
    (call,) = exchange_calls(connection, instance, [request])
    connection.close()
    context.crashing_calls.append(call)
