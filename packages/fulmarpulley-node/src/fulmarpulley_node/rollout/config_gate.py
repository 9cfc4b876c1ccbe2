"""Keep a node from deciding on items by an older configuration than accepted them.

The configuration and the steps are read independently, so after a pause or an outage a
node may read a step before the configuration that has the step's route.
"""

from collections.abc import Collection

from fulmarpulley_core.ids import StepId
from fulmarpulley_core.rollout.step_fold import Step

from ..observe.events import log_event
from .clock import elapsed_s
from .directory import Directory
from .item_runs import ItemRun


class ConfigGate:
    """Compare the configuration of this node with the one that accepted a step."""

    def __init__(self, directory: Directory) -> None:
        self.directory = directory
        self.waiting: set[StepId] = set()

    def admits(self, step: Step) -> bool:
        """Tell whether this node knows the configuration that accepted a step."""
        routes, required = self.directory.routes, step.accepted.config_version
        known = 0 if routes is None else routes.topology.version
        if routes is not None and known >= required:
            self.waiting.discard(step.step_id)
            return True
        if step.step_id not in self.waiting:
            self.waiting.add(step.step_id)
            log_event(
                "step_awaits_config", step=step.step_id, required=required, known=known
            )
        return False

    def confirms_end(self, run: ItemRun) -> bool:
        """Tell whether a configuration that ends an item is known to be current.

        Records of older builds do not say which configuration accepted the step. A read
        that began after the step was read returns that one or a later one.
        """
        if run.end_due_since_s is None:
            run.end_due_since_s = elapsed_s()
            return False
        return self.directory.config_current_as_of_s > run.end_due_since_s

    def forget_all_but(self, steps: Collection[StepId]) -> None:
        """Forget the steps that are no longer on the log."""
        self.waiting.intersection_update(steps)
