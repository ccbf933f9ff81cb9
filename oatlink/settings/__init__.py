"""Settings: a Jsonnet template, evaluated, decoded and checked into immutable values."""

from oatlink.settings.load import SettingsError, load, load_text, settings_hash
from oatlink.settings.model import Settings

__all__ = ["Settings", "SettingsError", "load", "load_text", "settings_hash"]
