"""Runs the operators' measuring programs one after another and reads their results."""
