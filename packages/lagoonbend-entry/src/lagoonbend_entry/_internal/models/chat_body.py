"""The body of a chat completion, as far as scheduling needs it."""

from typing import NotRequired
from typing import TypedDict


class ChatBody(TypedDict):
    """Fields of a chat completion; others are passed on unread."""

    model: str
    messages: list[dict[str, object]]
    stream: NotRequired[bool]
    max_tokens: NotRequired[int]
