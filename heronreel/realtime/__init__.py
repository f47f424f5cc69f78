"""Rehearsals over real sockets: the emulator's nodes as loopback servers behind real proxy processes."""
