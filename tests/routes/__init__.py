"""Tests of routes files."""
