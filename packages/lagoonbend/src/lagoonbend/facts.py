"""Configuration and target list as last read, with their revision and age."""

from lagoonbend._internal.facts.caller_bounds import CallerBounds
from lagoonbend._internal.facts.cold_targets import ColdTargets
from lagoonbend._internal.facts.cold_tolerance import ColdTolerance
from lagoonbend._internal.facts.customer_rule import CustomerRule
from lagoonbend._internal.facts.evacuations import Evacuations
from lagoonbend._internal.facts.item_cache import ItemCache
from lagoonbend._internal.facts.kept_prompts import find_read_version
from lagoonbend._internal.facts.kept_prompts import KeptPrompts
from lagoonbend._internal.facts.kept_prompts import weigh_kept_prompts
from lagoonbend._internal.facts.listed_target import ListedTarget
from lagoonbend._internal.facts.named_limit import NamedLimit
from lagoonbend._internal.facts.named_limits import NamedLimits
from lagoonbend._internal.facts.origin_source import OriginSource
from lagoonbend._internal.facts.published_item import NO_ERA
from lagoonbend._internal.facts.published_item import PublishedItem
from lagoonbend._internal.facts.route import Route
from lagoonbend._internal.facts.ruleset import RuleSet
from lagoonbend._internal.facts.service_profile import ServiceProfile
from lagoonbend._internal.facts.stream_origin import StreamOrigin
from lagoonbend._internal.facts.stream_origins import compute_origin_key
from lagoonbend._internal.facts.stream_origins import compute_prompt_key
from lagoonbend._internal.facts.stream_origins import StreamOrigins
from lagoonbend._internal.facts.target_directory import TargetDirectory
from lagoonbend._internal.facts.version_binding import VersionBinding
from lagoonbend._internal.facts.weighted_service import WeightedService

__all__ = [
    'CallerBounds',
    'ColdTargets',
    'ColdTolerance',
    'CustomerRule',
    'Evacuations',
    'ItemCache',
    'KeptPrompts',
    'ListedTarget',
    'NO_ERA',
    'NamedLimit',
    'NamedLimits',
    'OriginSource',
    'PublishedItem',
    'Route',
    'RuleSet',
    'ServiceProfile',
    'StreamOrigin',
    'StreamOrigins',
    'TargetDirectory',
    'VersionBinding',
    'WeightedService',
    'compute_origin_key',
    'compute_prompt_key',
    'weigh_kept_prompts',
    'find_read_version',
]
