"""The real-time engine: runs a rehearsal script over loopback sockets with real proxy processes."""
