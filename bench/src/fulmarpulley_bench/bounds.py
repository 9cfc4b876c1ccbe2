"""Compute a lower bound on idle time that holds for every policy."""

from .deployments import TrainingPlan
from .engine import EngineProfile
from .step_homes import SampleSubmitter


def least_idle(
    submitter: SampleSubmitter, plan: TrainingPlan, profile: EngineProfile, engines: int
) -> float:
    """Return the lower bound on the idle seconds of a trainer after its first step.

    Generating a step takes at least its tokens divided by the rate of all engines, and
    at least the time of its longest sample alone on an engine. With a lookahead of 1
    this overlaps the training on the step before. Prompts, swaps, faults and the work
    of other trainers are ignored, so that the bound holds for every policy.
    """
    rate = engines * profile.full_rate()
    overlap_s = plan.train_s if plan.lookahead else 0.0
    idle = 0.0
    for step in range(2, plan.steps + 1):
        slots = range(plan.groups * plan.samples_per_group)
        lengths = [submitter.length(step, slot) for slot in slots]
        longest_s = max(lengths) / profile.rate(1)
        idle += max(0.0, max(sum(lengths) / rate, longest_s) - overlap_s)
    return idle
