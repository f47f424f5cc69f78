"""Stand-in servers and clients for the demo, the benchmarks and tests: loopback only, seeded, bounded."""
