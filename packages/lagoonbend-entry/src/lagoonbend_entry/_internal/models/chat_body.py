"""Request body of a chat completion: the fields used for scheduling."""

from typing import NotRequired
from typing import TypedDict


class ChatBody(TypedDict):
    """Fields of a chat completion; others are passed on unparsed."""

    model: str
    messages: list[dict[str, object]]
    stream: NotRequired[bool]
    max_tokens: NotRequired[int]
