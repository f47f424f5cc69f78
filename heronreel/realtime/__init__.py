"""The second engine: plays a rehearsal script over real sockets with real proxy processes."""
