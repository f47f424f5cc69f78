"""Tests of the demo."""
