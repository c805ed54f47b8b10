"""Parser of the lines of an instance's log."""

from typing import Any
from typing import NamedTuple

import msgspec

ENVELOPE_FIELDS = ('timestamp', 'task_uuid', 'task_level', 'message_type')
"""Fields that the logging library adds to each event."""


class LogLine(NamedTuple):
    """A log event that one line holds.

    :param time_s: Unix time at which it was logged, by that instance's clock.
    :param instance: name of the instance that logged it.
    :param number: number of the event in the catalogue, such as ``LB0203``.
    :param meaning: description of the event in the catalogue.
    :param fields: further fields of the event.
    """

    time_s: float
    instance: str
    number: str
    meaning: str
    fields: dict[str, Any]

    @classmethod
    def parse(cls, text: str) -> 'LogLine | None':
        """Return the event in a line; None if the line holds none.

        Skips any prefix that a log collector puts before the JSON object.
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
        for name in ENVELOPE_FIELDS:
            fields.pop(name, None)
        return cls(time_s, instance, number, meaning, fields)
