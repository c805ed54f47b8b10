"""Settings of an instance in a local fleet."""

from typing import NamedTuple

SETTINGS_TEMPLATE = """\
[instance]
name = {name}
partner = {partner}
failure_domain = {failure_domain}

[callers]
address = 127.0.0.1
port = {caller_port}
body_timeout_ms = 500

[operators]
address = 127.0.0.1
port = {operator_port}

[peers]
address = 127.0.0.1
port = {peer_port}
heartbeat_ms = {heartbeat_ms}

[platform]
address = 127.0.0.1
port = {platform_port}
watch_ms = 2000
retry_ms = 200

[claims]
repeat_window_ms = {repeat_window_ms}
confirm_ms = 1000
nonce_life_ms = 500
pause_ms = 600

[serving]
drain_notice_ms = 300

[faults]
links = on
"""


class InstanceSpec(NamedTuple):
    """Names, ports and intervals of an instance.

    :param name: name of the instance.
    :param partner: partner to which the instance belongs.
    :param failure_domain: failure domain in which it runs.
    :param caller_port: port of the callers' listener.
    :param operator_port: port of the operators' listener.
    :param peer_port: port of the peers' listener.
    :param platform_port: port of the platform's stand-in.
    :param repeat_window_ms: time during which a caller may repeat a bare key
        (a key that it chose without a ticket).
    :param heartbeat_ms: interval of the exchanges with peers.
    """

    name: str
    partner: str
    failure_domain: str
    caller_port: int
    operator_port: int
    peer_port: int
    platform_port: int
    repeat_window_ms: int
    heartbeat_ms: int

    def write_settings(self) -> str:
        """Return the text of the settings file, in INI format."""
        return SETTINGS_TEMPLATE.format(**self._asdict())

    @property
    def peer_address(self) -> str:
        """Address of the peers' listener."""
        return f'127.0.0.1:{self.peer_port}'
