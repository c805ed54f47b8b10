"""Settings of an instance that uses a published platform."""

from typing import NamedTuple

from lagoonbend_entry._internal.settings.bounds_settings import BoundsSettings


class GatewayInstanceSettings(NamedTuple):
    """Section ``[instance]``: identity of the instance.

    :param name: name of the instance, unique in the fleet.
    :param failure_domain: failure domain of the instance.
    """

    name: str
    failure_domain: str


class GatewayListenSettings(NamedTuple):
    """Section ``[listen]``: endpoints to listen on.

    :param callers_endpoint: for callers.
    :param readiness_endpoint: for readiness checks of the load balancer.
    :param peers_endpoint: for other instances.
    :param metrics_endpoint: for metrics.
    """

    callers_endpoint: str
    readiness_endpoint: str
    peers_endpoint: str
    metrics_endpoint: str


class GatewayPeersSettings(NamedTuple):
    """Section ``[peers]``: how to find other instances.

    :param seed_endpoints: peer endpoints of some instances, which need not
        be running.
    """

    seed_endpoints: str = ''


class GatewayPlatformSettings(NamedTuple):
    """Section ``[platform]``: service that publishes rules and targets.

    :param endpoint: endpoint of the service.
    :param timeout_ms: timeout for connecting and for an answer, each.
    :param history_s: time for which it keeps the changes of what it publishes.
    """

    endpoint: str
    timeout_ms: int = 700
    history_s: float = 20.0


class GatewaySchedulingSettings(NamedTuple):
    """Section ``[scheduling]``: order of waiting requests.

    :param rank_order: ``route_first`` or ``customer_first``.
    :param call_age: ``receipt`` to count each call from its receipt, or
        ``first_send`` to count one that is sent again from its first send.
    :param customer_order: ``latest_start`` to order the calls of a rank by
        latest start alone, or ``fair_share`` to give its customers equal
        shares of the slot time.
    :param kept_prompts: ``off`` to choose only among targets with a free
        slot, or ``on`` to let a call wait for a target that has its prompt
        cached if that is expected to be sooner.
    """

    rank_order: str = 'route_first'
    call_age: str = 'receipt'
    customer_order: str = 'latest_start'
    kept_prompts: str = 'off'


class GatewaySettings(NamedTuple):
    """Settings by section; the field names are the section names."""

    instance: GatewayInstanceSettings
    listen: GatewayListenSettings
    peers: GatewayPeersSettings
    platform: GatewayPlatformSettings
    bounds: BoundsSettings
    scheduling: GatewaySchedulingSettings
