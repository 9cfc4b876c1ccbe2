"""Register named plugins with decorators."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

P = TypeVar("P")


class UnknownPluginError(LookupError):
    """Report a plugin name that is not registered."""


class Registry(Generic[P]):
    """Map names to plugins of one kind."""

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._plugins: dict[str, P] = {}

    def register(self, name: str) -> Callable[[P], P]:
        """Return a decorator that registers a plugin under a name."""

        def add(plugin: P) -> P:
            if name in self._plugins:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self._plugins[name] = plugin
            return plugin

        return add

    def get(self, name: str) -> P:
        """Return the plugin with a name, or raise UnknownPluginError."""
        try:
            return self._plugins[name]
        except KeyError:
            known = ", ".join(sorted(self._plugins)) or "none"
            message = f"unknown {self.kind} {name!r}; use one of: {known}"
            raise UnknownPluginError(message) from None

    def __contains__(self, name: object) -> bool:
        return name in self._plugins

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self._plugins))
