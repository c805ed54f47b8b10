"""Asyncio loop for grpclib, in a thread of its own."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import threading
from typing import TypeVar

import gevent.event

from lagoonbend_entry._internal.network.peers.hub_bridge import HubBridge

Result = TypeVar('Result')


class PeerLoop:
    """Asyncio loop in a native thread, for use from greenlets.

    grpclib needs asyncio, while the rest of the process runs on gevent. The
    loop only transports messages: state is read and changed in the thread of
    the gevent hub alone.

    :param bridge: runs functions in the gevent hub.
    """

    def __init__(self, bridge: HubBridge) -> None:
        self._bridge = bridge
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, name='peers', daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def run_in_loop(
        self, coroutine: Coroutine[object, object, Result]
    ) -> Result:
        """Run a coroutine in the loop; block this greenlet until it returns.

        :raises Exception: if the coroutine raises it.
        """
        answer: gevent.event.AsyncResult = gevent.event.AsyncResult()

        async def run() -> None:
            try:
                value = await coroutine
            except BaseException as error:  # noqa: B902
                failure = error
                self._bridge.post(lambda: answer.set_exception(failure))
            else:
                self._bridge.post(lambda: answer.set(value))

        asyncio.run_coroutine_threadsafe(run(), self._loop)
        result: Result = answer.get()
        return result

    async def run_in_hub(self, function: Callable[[], Result]) -> Result:
        """Run a function in the gevent hub and await its result.

        The function must not block. Call this from a coroutine of the loop.
        """
        future: asyncio.Future[Result] = self._loop.create_future()

        def settle(result: Result | None, error: Exception | None) -> None:
            if future.cancelled():
                return
            if error is not None:
                future.set_exception(error)
            else:
                future.set_result(result)  # type: ignore[arg-type]

        def run() -> None:
            result: Result | None = None
            failure: Exception | None = None
            try:
                result = function()
            except Exception as error:
                failure = error
            self._loop.call_soon_threadsafe(settle, result, failure)

        self._bridge.post(run)
        return await future
