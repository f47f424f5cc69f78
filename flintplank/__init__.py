"""flintplank: the decisions of a reverse proxy spreading requests over HTTP servers."""

from flintplank.choice import Balancer

__all__ = ["Balancer"]
__version__ = "0.1.0"
