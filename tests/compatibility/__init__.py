"""Tests that what is stored, sent and printed keeps its form, and that the program decides as before."""
