"""Load-balancing decisions of a reverse proxy that distributes requests over HTTP servers."""

from heronreel.balancer.choice import Balancer

__all__ = ["Balancer"]
__version__ = "0.1.0"
