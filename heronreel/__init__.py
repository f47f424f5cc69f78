"""The load-balancing proxy and its control plane.

There is one package for each concern.  Modules that decide are separate from modules that perform input and
output.
"""

__version__ = "0.2.0"
