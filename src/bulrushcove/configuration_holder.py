"""Holds the newest configuration that the process has received."""

from collections.abc import Callable

from .configuration import Configuration, empty_configuration


class ConfigurationHolder:
    """Holds a configuration that only a newer one replaces."""

    def __init__(self) -> None:
        """Start with the empty configuration of revision 0."""
        self._current = empty_configuration()
        self._listeners: list[Callable[[Configuration], None]] = []

    @property
    def current(self) -> Configuration:
        """Return the configuration in force in this process."""
        return self._current

    def adopt(self, configuration: Configuration) -> bool:
        """Adopt ``configuration`` if it is newer; return whether it was."""
        if configuration.revision <= self._current.revision:
            return False
        self._current = configuration
        for listener in self._listeners:
            listener(configuration)
        return True

    def add_listener(self, listener: Callable[[Configuration], None]) -> None:
        """Call ``listener`` with each configuration that is adopted."""
        self._listeners.append(listener)
