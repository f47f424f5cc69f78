"""What the tests of several packages share: peers on loopback, processes, files of routes, rehearsals."""
