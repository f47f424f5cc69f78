"""The HTTP/1.1 reverse proxy on sockets; `heronreel.balancer` makes its load-balancing decisions."""
