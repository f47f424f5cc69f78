"""Tests of sweeps, comparisons, reports and script reduction."""
