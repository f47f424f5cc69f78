"""Tests of the coordinator server, with real processes."""
