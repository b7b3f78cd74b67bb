"""Node program of every VM: the job API, and the scheduler on the leader."""
