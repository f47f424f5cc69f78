"""Tests of the command that runs the operators' measuring programs."""
