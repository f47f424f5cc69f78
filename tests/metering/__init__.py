"""Tests of usage metering by tenant."""
