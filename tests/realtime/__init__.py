"""Tests of the emulator over real sockets."""
