"""Deterministic fleet emulator that runs a rehearsal script in virtual time."""
