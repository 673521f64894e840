"""The one validated document that holds the whole intended state."""

from chivelb_core.document.changes import Change
from chivelb_core.document.changes import Operation
from chivelb_core.document.checks import find_problems
from chivelb_core.document.model import Document
from chivelb_core.document.model import Limits
from chivelb_core.document.model import Model
from chivelb_core.document.model import Rule
from chivelb_core.document.model import Service
from chivelb_core.document.model import Workspace
from chivelb_core.document.register import Register

__all__ = [
    "Change",
    "Document",
    "Limits",
    "Model",
    "Operation",
    "Register",
    "Rule",
    "Service",
    "Workspace",
    "find_problems",
]
