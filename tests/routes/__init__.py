"""Tests of files of routes."""
