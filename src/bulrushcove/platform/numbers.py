"""Range of the whole numbers that other programs send."""

from typing import Annotated

import msgspec

# Thirty thousand years in milliseconds. Such numbers and their sums are exact
# in a float, and fit the 64 bits of records and frames: a number beyond failed
# each scheduling pass, or the record of a job that was already scheduled.
MAX_NUMBER = 1_000_000_000_000_000

WireInt = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
