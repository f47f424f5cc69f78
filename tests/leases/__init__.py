"""Tests of leases, claims and fleet-wide tasks."""
