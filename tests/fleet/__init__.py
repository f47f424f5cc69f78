"""Tests of the fleet control plane."""
