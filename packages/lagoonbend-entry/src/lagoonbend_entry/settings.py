"""Settings of an instance, for tools that check them."""

from lagoonbend_entry._internal.settings.settings import Settings
from lagoonbend_entry._internal.settings.settings_reader import read_sections
from lagoonbend_entry._internal.settings.settings_reader import read_settings

__all__ = ['Settings', 'read_sections', 'read_settings']
