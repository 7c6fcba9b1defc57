"""Real host processes under faults from outside, with the promises checked while they run."""
