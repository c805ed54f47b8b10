"""Settings of an instance on a published platform."""

from typing import NamedTuple

from lagoonbend_entry._internal.settings.bounds_settings import BoundsSettings


class GatewayInstanceSettings(NamedTuple):
    """Section ``[instance]``: who this instance is.

    :param name: name of the instance, unique in the fleet.
    :param failure_domain: domain it stands in.
    """

    name: str
    failure_domain: str


class GatewayListenSettings(NamedTuple):
    """Section ``[listen]``: where it listens.

    :param callers_endpoint: for callers.
    :param readiness_endpoint: for the balancer's questions.
    :param peers_endpoint: for other instances.
    :param metrics_endpoint: for metrics.
    """

    callers_endpoint: str
    readiness_endpoint: str
    peers_endpoint: str
    metrics_endpoint: str


class GatewayPeersSettings(NamedTuple):
    """Section ``[peers]``: where other instances may be found.

    :param seed_endpoints: some of them; they may be down.
    """

    seed_endpoints: str = ''


class GatewayPlatformSettings(NamedTuple):
    """Section ``[platform]``: the service that publishes facts.

    :param endpoint: its address.
    :param timeout_ms: time for a connection and for an answer.
    """

    endpoint: str
    timeout_ms: int = 700


class GatewaySchedulingSettings(NamedTuple):
    """Section ``[scheduling]``: who goes first.

    :param rank_order: ``route_first`` or ``customer_first``.
    """

    rank_order: str = 'route_first'


class GatewaySettings(NamedTuple):
    """Settings by section; the field names are the section names."""

    instance: GatewayInstanceSettings
    listen: GatewayListenSettings
    peers: GatewayPeersSettings
    platform: GatewayPlatformSettings
    bounds: BoundsSettings
    scheduling: GatewaySchedulingSettings
