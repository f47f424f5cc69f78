"""Tests of the real-time engine, which runs rehearsals over real sockets."""
