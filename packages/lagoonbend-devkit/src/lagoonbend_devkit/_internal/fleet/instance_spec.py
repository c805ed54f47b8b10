"""An instance of a local fleet."""

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
    """Names and ports of an instance.

    :param name: name of the instance.
    :param partner: its partner.
    :param failure_domain: its failure domain.
    :param caller_port: port of the callers' listener.
    :param operator_port: port of the operators' listener.
    :param peer_port: port of the peers' listener.
    :param platform_port: port of the platform's stand-in.
    :param repeat_window_ms: repeat window of bare keys.
    :param heartbeat_ms: time between two exchanges with peers.
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
        """Return the INI text of the instance."""
        return SETTINGS_TEMPLATE.format(**self._asdict())

    @property
    def peer_address(self) -> str:
        """Address of the peers' listener."""
        return f'127.0.0.1:{self.peer_port}'
