"""Exceptions of the proxy package, all derived from `ProxyError`."""

from __future__ import annotations


class ProxyError(Exception):
    """Base class of the exceptions of the proxy package."""


class ConfigError(ProxyError):
    """The configuration is invalid.  The message is a single line that names the field for the operator."""


class MalformedEndpointListError(ProxyError, ValueError):
    """A message from discovery is not a valid endpoint list.  The message names the invalid field."""


class NoMemoryError(ProxyError):
    """Raised in a parser callback to stop parsing a message for which there is no memory."""


class UnreadableMessageError(ProxyError):
    """Raised in a parser callback to stop parsing an HTTP message that can't be processed any further."""
