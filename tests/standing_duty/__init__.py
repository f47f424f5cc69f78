"""Tests of the standing duty in one command."""
