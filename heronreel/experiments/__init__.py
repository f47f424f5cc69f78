"""Runs many rehearsals: sweeps, paired comparisons, HTML reports, and reduction of failing scripts."""
