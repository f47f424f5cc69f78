"""The demo: a proxy, stand-in servers in trouble, and a steady client, all on loopback."""
