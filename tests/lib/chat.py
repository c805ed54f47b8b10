"""Builds bodies of chat completion requests for tests."""

import msgspec


def write_chat(
    text: str,
    *,
    model: str = 'assistant',
    stream: bool = True,
    max_tokens: int = 5,
) -> bytes:
    """Return the JSON body of a chat completion request."""
    return msgspec.json.encode(
        {
            'model': model,
            'messages': [{'role': 'user', 'content': text}],
            'stream': stream,
            'max_tokens': max_tokens,
        }
    )
