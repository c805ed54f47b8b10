"""What a caller may do after an answer."""

import enum


class Advice(enum.Enum):
    """The one safe next step of the caller."""

    DONE = 'done'
    REPEAT_SAME_KEY = 'repeat_same_key'
    TAKE_NEW_KEY = 'take_new_key'
    UNDECIDED = 'undecided'
