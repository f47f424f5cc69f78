"""Tests of fleet operations."""
