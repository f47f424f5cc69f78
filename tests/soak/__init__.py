"""Tests of the soak of shutdowns, and a short soak."""
