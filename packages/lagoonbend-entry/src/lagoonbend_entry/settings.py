"""Settings of the daemon and the functions that read them."""

from lagoonbend_entry._internal.settings import settings_reader
from lagoonbend_entry._internal.settings.settings import Settings

is_gateway_file = settings_reader.is_gateway_file
read_gateway_settings = settings_reader.read_gateway_settings
read_sections = settings_reader.read_sections
read_settings = settings_reader.read_settings

__all__ = [
    'Settings',
    'is_gateway_file',
    'read_gateway_settings',
    'read_sections',
    'read_settings',
]
