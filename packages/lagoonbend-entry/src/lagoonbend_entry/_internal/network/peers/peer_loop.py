"""The thread that runs grpclib."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import threading
from typing import TypeVar

import gevent.event

from lagoonbend_entry._internal.network.peers.hub_bridge import HubBridge

Result = TypeVar('Result')


class PeerLoop:
    """An asyncio loop in a native thread, reached from greenlets.

    grpclib needs asyncio, the rest of the process runs on gevent. Results
    cross over the bridge; decisions stay in the thread of the hub.

    :param bridge: way back to the hub.
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

    def ask(self, coroutine: Coroutine[object, object, Result]) -> Result:
        """Run a coroutine in the loop; block this greenlet until its end.

        :raises Exception: what the coroutine raised.
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
        """Run a function that does not block in the hub; await its result.

        Call from a coroutine of this loop.
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
