"""The program on every VM: its front, and the scheduler where it is active."""
