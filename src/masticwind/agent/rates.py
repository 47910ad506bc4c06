"""Estimates the speed of one engine from observed requests.

The prefill rate is a service rate: computed prompt tokens divided by the time
in which any prefill was outstanding. That time includes interleaved decode
iterations, which delay a new request as well.
"""

import math
import time
from typing import Final

# Busy time after which the weight of a measurement has fallen to 1/e.
RATE_DECAY_S: Final = 5.0
# In smaller samples the engine's iteration time dominates.
MIN_SAMPLE_S: Final = 0.001
MIN_SAMPLE_TOKENS: Final = 2048
MIN_PEAK_SAMPLE_TOKENS: Final = 4096
PEAK_DECAY_FACTOR: Final = 0.95
DECODE_EWMA_WEIGHT: Final = 0.05
OUTPUT_EWMA_WEIGHT: Final = 0.05


class Rates:
    """Prefill rate, decode interval and typical output of one engine.

    `output_fraction` is the typical ratio of generated tokens to `max_tokens`.
    `computed_tokens` counts all prompt tokens computed so far.
    """

    def __init__(self) -> None:
        self._decayed_tokens = 0.0
        self._decayed_busy_s = 0.0
        self._peak_tokens_per_s = 0.0
        self._outstanding_prefills = 0
        self._sample_started_at = 0.0
        self._sample_tokens = 0
        self.decode_interval_s = 0.0
        self.output_fraction = 1.0
        self.computed_tokens = 0

    @property
    def prefill_tokens_per_s(self) -> float:
        """The measured prefill rate; 0 before the first measurement."""
        if self._decayed_busy_s < MIN_SAMPLE_S:
            return 0
        return self._decayed_tokens / self._decayed_busy_s

    @property
    def peak_tokens_per_s(self) -> float:
        """The highest recent rate: that of a prefill without competition."""
        return max(self._peak_tokens_per_s, self.prefill_tokens_per_s)

    def begin_prefill(self) -> float:
        """Record that a prompt, or a step of one, was sent to the engine.

        Returns the start time to pass to `end_prefill`.
        """
        if not self._outstanding_prefills:
            self._restart_sample()
        self._outstanding_prefills += 1
        return time.monotonic()

    def end_prefill(self, started_at: float, computed_tokens: int) -> None:
        """Record that the engine has computed `computed_tokens`.

        0 stands for a cancelled or failed prefill: its time cannot be
        attributed to tokens, so the current sample is discarded.
        """
        self._outstanding_prefills -= 1
        if not computed_tokens:
            self._restart_sample()
            return
        self.computed_tokens += computed_tokens
        self._sample_tokens += computed_tokens
        now = time.monotonic()
        if computed_tokens >= MIN_PEAK_SAMPLE_TOKENS and now > started_at:
            # The time includes a decode iteration of the usual length.
            prefill_s = max(
                (now - started_at) / 2,
                now - started_at - self.decode_interval_s,
            )
            sample_tokens_per_s = computed_tokens / prefill_s
            self._peak_tokens_per_s = max(
                self._peak_tokens_per_s * PEAK_DECAY_FACTOR, sample_tokens_per_s
            )
        elapsed_s = now - self._sample_started_at
        if (
            self._sample_tokens >= MIN_SAMPLE_TOKENS
            and elapsed_s >= MIN_SAMPLE_S
        ):
            self.record_prefill(self._sample_tokens, elapsed_s)
            self._restart_sample()

    def record_prefill(self, tokens: int, busy_s: float) -> None:
        """Add a sample to the prefill rate."""
        decay = math.exp(-busy_s / RATE_DECAY_S)
        self._decayed_tokens = self._decayed_tokens * decay + tokens
        self._decayed_busy_s = self._decayed_busy_s * decay + busy_s

    def record_decode_interval(self, interval_s: float) -> None:
        """Add an interval between two tokens to the moving average."""
        if not self.decode_interval_s:
            self.decode_interval_s = interval_s
        self.decode_interval_s += DECODE_EWMA_WEIGHT * (
            interval_s - self.decode_interval_s
        )

    def record_output(self, generated_tokens: int, max_tokens: int) -> None:
        """Add the output length of a completed request to the average."""
        output_fraction = generated_tokens / max(1, max_tokens)
        self.output_fraction += OUTPUT_EWMA_WEIGHT * (
            output_fraction - self.output_fraction
        )

    def predict_prefill_s(self, tokens: int) -> float:
        """Predict the seconds for a prefill of `tokens`."""
        tokens_per_s = self.prefill_tokens_per_s
        return tokens / tokens_per_s if tokens_per_s else 0

    def predict_output_s(self, max_tokens: int) -> float:
        """Predict the seconds for generating the output."""
        return max_tokens * self.output_fraction * self.decode_interval_s

    def predict_service_s(self, tokens: int, max_tokens: int) -> float:
        """Predict the service time of a request, without queueing."""
        return self.predict_prefill_s(tokens) + self.predict_output_s(
            max_tokens
        )

    def predict_min_service_s(self, tokens: int, max_tokens: int) -> float:
        """Predict the service time at the peak prefill rate."""
        peak_tokens_per_s = self.peak_tokens_per_s
        prefill_s = tokens / peak_tokens_per_s if peak_tokens_per_s else 0
        return prefill_s + self.predict_output_s(max_tokens)

    def _restart_sample(self) -> None:
        self._sample_started_at = time.monotonic()
        self._sample_tokens = 0
