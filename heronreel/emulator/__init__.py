"""Nodes, proxies, clients and the list service in virtual time, with a judge that sees all."""
