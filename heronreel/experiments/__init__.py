"""Rehearsals by the hundred: sweeps, paired comparisons, reports, smallest failing scripts."""
