"""Tests of the balancer's decisions."""
