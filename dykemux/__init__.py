"""dykemux: the real proxy round flintplank's decisions."""
