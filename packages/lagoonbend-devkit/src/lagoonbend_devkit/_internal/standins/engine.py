"""Simulated model engine with continuous batching, served over HTTP."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import NotRequired
from typing import TypedDict

import falcon
import gevent
import gevent.queue
import msgspec
import xxhash

from lagoonbend_devkit._internal.standins.engine_core import EngineCore
from lagoonbend_devkit._internal.standins.engine_core import EngineJob
from lagoonbend_devkit._internal.standins.engine_core import EngineSpeed
from lagoonbend_devkit._internal.standins.standin_server import Faults
from lagoonbend_devkit._internal.standins.standin_server import FaultsResource

MILLISECONDS_PER_SECOND = 1000
DEFAULT_OUTPUT_TOKENS = 16
CHARACTERS_PER_TOKEN = 4
PREFIX_TOKENS = 16
"""Length of the start of a prompt that the engine can keep in its cache."""


class ChatRequest(TypedDict):
    """Body of a chat completion request, as far as the stand-in reads it."""

    model: str
    messages: list[dict[str, str]]
    stream: NotRequired[bool]
    max_tokens: NotRequired[int]


class ChatResource:
    """``POST /v1/chat/completions``.

    Each token contains a hash of the prompt, so that a caller can verify that
    the answer belongs to its own request. The fault ``cut_after`` ends a
    stream after that many tokens, without the end marker.

    :param core: runs the jobs of the engine.
    :param faults: faults to inject.
    :param executions: record of the prompts that were started.
    """

    def __init__(
        self, core: EngineCore, faults: Faults, executions: list[str]
    ) -> None:
        self._core = core
        self._faults = faults
        self._executions = executions

    def on_post(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Run a completion; answer with the whole text or a stream."""
        body = request.bounded_stream.read()
        chat = msgspec.json.decode(body, type=ChatRequest)
        prompt = '\n'.join(message['content'] for message in chat['messages'])
        self._executions.append(prompt)
        tokens: gevent.queue.Queue = gevent.queue.Queue()
        output_tokens = chat.get('max_tokens', DEFAULT_OUTPUT_TOKENS)
        job = _build_job(prompt, output_tokens, tokens.put)
        self._core.add(job)
        attempt_id = request.get_header('Lagoonbend-Attempt')
        if attempt_id:
            response.set_header('Lagoonbend-Attempt', attempt_id)
        if chat.get('stream'):
            response.content_type = 'text/event-stream'
            response.stream = self._stream(job, tokens)
            return
        answer_text = ' '.join(iter(tokens.get, None))
        response.data = msgspec.json.encode(
            {
                'object': 'chat.completion',
                'choices': [
                    {
                        'index': 0,
                        'message': {
                            'role': 'assistant',
                            'content': answer_text,
                        },
                        'finish_reason': 'stop',
                    }
                ],
            }
        )

    def _stream(
        self, job: EngineJob, tokens: gevent.queue.Queue
    ) -> Iterator[bytes]:
        sent_tokens = 0
        try:
            for token in iter(tokens.get, None):
                yield _encode_event(token)
                sent_tokens += 1
                if sent_tokens == self._faults['cut_after']:
                    return
            yield b'data: [DONE]\n\n'
        finally:
            job.cancelled = not job.is_done


class LoadResource:
    """``GET /load``: number of jobs and token counts.

    The fault ``lag_ms`` delays the answer by that many milliseconds after the
    values were read, so that they are outdated when they arrive.

    :param core: runs the jobs of the engine.
    :param faults: faults to inject.
    """

    def __init__(self, core: EngineCore, faults: Faults) -> None:
        self._core = core
        self._faults = faults

    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Answer with the current load."""
        response.data = msgspec.json.encode(
            {
                'running': self._core.running,
                'waiting_tokens': self._core.waiting_tokens,
                'prefilled_tokens': self._core.prefilled_tokens,
                'wasted_tokens': self._core.wasted_tokens,
            }
        )
        self._faults.sleep('lag_ms')


class PromptsResource:
    """``GET /control/executions``: prompts started, in order.

    :param executions: record of the prompts that were started.
    """

    def __init__(self, executions: list[str]) -> None:
        self._executions = executions

    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Answer with the record."""
        response.data = msgspec.json.encode(self._executions)


def build_engine(speed: EngineSpeed) -> falcon.App:
    """Start a simulated engine and return its HTTP application."""
    faults = Faults()
    core = EngineCore(speed)
    executions: list[str] = []
    gevent.spawn(_run_steps, core, speed, faults)
    app = falcon.App()
    chat = ChatResource(core, faults, executions)
    app.add_route('/v1/chat/completions', chat)
    app.add_route('/load', LoadResource(core, faults))
    app.add_route('/control/executions', PromptsResource(executions))
    app.add_route('/control/faults', FaultsResource(faults))
    return app


def _run_steps(core: EngineCore, speed: EngineSpeed, faults: Faults) -> None:
    while True:
        step_ms = speed.step_ms * max(1, faults['slowdown'])
        gevent.sleep(step_ms / MILLISECONDS_PER_SECOND)
        core.step()


def _build_job(
    prompt: str, output_tokens: int, put_token: Callable[[str | None], None]
) -> EngineJob:
    prompt_hash = f'{xxhash.xxh3_64_intdigest(prompt.encode()):016x}'
    prefix_text = prompt[: PREFIX_TOKENS * CHARACTERS_PER_TOKEN].encode()
    return EngineJob(
        max(1, len(prompt) // CHARACTERS_PER_TOKEN),
        output_tokens,
        xxhash.xxh3_64_intdigest(prefix_text),
        PREFIX_TOKENS,
        lambda n: put_token(None if n is None else f'{prompt_hash}:{n}'),
    )


def _encode_event(token: str) -> bytes:
    chunk = {
        'object': 'chat.completion.chunk',
        'choices': [{'index': 0, 'delta': {'content': token + ' '}}],
    }
    return b'data: ' + msgspec.json.encode(chunk) + b'\n\n'
