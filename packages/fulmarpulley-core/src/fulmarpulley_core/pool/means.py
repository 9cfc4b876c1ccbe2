"""Hold moving means."""

import msgspec

MEAN_WEIGHT = 0.1


class Mean(msgspec.Struct):
    """Hold a moving mean that starts as the plain mean of its first values."""

    value: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        """Add a value to the mean."""
        self.count += 1
        self.value += (value - self.value) * max(MEAN_WEIGHT, 1 / self.count)
