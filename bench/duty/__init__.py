"""The standing duty: the operators' measuring programs played one after the other, and their figures read."""
