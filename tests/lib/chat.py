"""Chat completions for tests."""

import msgspec


def write_chat(
    text: str,
    *,
    model: str = 'assistant',
    stream: bool = True,
    max_tokens: int = 5,
) -> bytes:
    """Return the body of a chat completion."""
    return msgspec.json.encode(
        {
            'model': model,
            'messages': [{'role': 'user', 'content': text}],
            'stream': stream,
            'max_tokens': max_tokens,
        }
    )
