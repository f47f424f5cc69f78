"""Tests of a proxy on its own pools."""
