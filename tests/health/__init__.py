"""Tests of health checks."""
