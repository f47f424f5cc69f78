"""Tests of active health checks."""
