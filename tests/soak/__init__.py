"""Tests of the shutdown soak, and short soak runs."""
