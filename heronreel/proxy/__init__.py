"""The HTTP/1.1 reverse proxy on sockets, around the decisions of `heronreel.balancer`."""
