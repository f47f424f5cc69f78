"""Tests of the replicated key-value store."""
