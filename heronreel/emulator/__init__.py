"""Deterministic fleet emulator: plays a rehearsal script in virtual time."""
