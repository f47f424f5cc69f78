"""Errors of the proxy package; all of them derive from `ProxyError`."""

from __future__ import annotations


class ProxyError(Exception):
    """Base class of this package's errors."""


class ConfigError(ProxyError):
    """The configuration is unusable; the message is one line for the operator that names the field."""


class MalformedEndpointListError(ProxyError, ValueError):
    """Data that claims to be a list of endpoints is none; the message names the field."""


class UnreadableMessageError(ProxyError):
    """Raised in a parser's callback to end the parsing of what was received: the rest is of no use."""
