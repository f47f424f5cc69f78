"""Tests of the coordinator server, between processes."""
