"""What the laboratory tells whoever runs it."""

from beechrock.errors import OperatorError


class LabError(OperatorError):
    """A process did not do as it must, or something never came; the text has the log or history."""

    event = "lab.error"


class RunfileError(LabError):
    """A run file that cannot be used; ``where`` has the file and the key."""

    event = "lab.runfile"
