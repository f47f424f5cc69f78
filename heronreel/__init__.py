"""The product around the proxy: one package a concern, what decides apart from what touches the world."""

__version__ = "0.2.0"
