"""A line of an instance's log."""

from typing import Any
from typing import NamedTuple

import msgspec

ENVELOPE = ('timestamp', 'task_uuid', 'task_level', 'message_type')


class LogLine(NamedTuple):
    """An event.

    :param time_s: Unix time of the instance that wrote it.
    :param instance: name of that instance.
    :param number: number of the event.
    :param meaning: what the event says.
    :param fields: its fields.
    """

    time_s: float
    instance: str
    number: str
    meaning: str
    fields: dict[str, Any]

    @classmethod
    def parse(cls, text: str) -> 'LogLine | None':
        """Return the event in a line; None if it holds none.

        What a collector puts before the JSON object is left out.
        """
        start = text.find('{')
        if start < 0:
            return None
        try:
            fields = msgspec.json.decode(text[start:].rstrip())
        except msgspec.DecodeError:
            return None
        if not isinstance(fields, dict) or 'message_type' not in fields:
            return None
        number = str(fields['message_type'])
        time_s = float(fields.get('timestamp', 0.0))
        instance = str(fields.pop('instance', ''))
        meaning = str(fields.pop('meaning', ''))
        fields.pop('severity', None)
        for name in ENVELOPE:
            fields.pop(name, None)
        return cls(time_s, instance, number, meaning, fields)
