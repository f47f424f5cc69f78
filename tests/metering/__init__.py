"""Tests of the metering of requests by tenant."""
