"""Keys of the records that the operator writes."""

from chicorylead.ids import ZoneName

__all__ = ["evacuated_zone", "is_configuration", "is_evacuation"]

_CONFIGURATION_KEY = "config"
_EVACUATION_PREFIX = "evacuate/"


def is_configuration(key: str) -> bool:
    """Return whether a record is a version of the configuration."""
    return key == _CONFIGURATION_KEY


def is_evacuation(key: str) -> bool:
    """Return whether a record evacuates a zone."""
    return evacuated_zone(key) is not None


def evacuated_zone(key: str) -> ZoneName | None:
    """Return the zone that a record evacuates; None if it is of another kind."""
    if not key.startswith(_EVACUATION_PREFIX) or key == _EVACUATION_PREFIX:
        return None
    return ZoneName(key.removeprefix(_EVACUATION_PREFIX))
