"""Settings: a Jsonnet file is evaluated, decoded into immutable values and checked."""

from oatlink.settings.load import SettingsError, load, load_text, settings_hash
from oatlink.settings.model import Settings

__all__ = ["Settings", "SettingsError", "load", "load_text", "settings_hash"]
