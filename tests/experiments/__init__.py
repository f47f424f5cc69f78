"""Tests of the experiment tool."""
