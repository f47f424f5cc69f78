"""Tests of the embedded store."""
