"""The configuration document: the desired state of the whole site."""

from chivelb_core.document.changes import Change
from chivelb_core.document.changes import Operation
from chivelb_core.document.changes import Replacement
from chivelb_core.document.checks import find_problems
from chivelb_core.document.checks import find_route_problems
from chivelb_core.document.model import Document
from chivelb_core.document.model import Engine
from chivelb_core.document.model import Limits
from chivelb_core.document.model import Model
from chivelb_core.document.model import Route
from chivelb_core.document.model import Rule
from chivelb_core.document.model import Service
from chivelb_core.document.model import Share
from chivelb_core.document.model import Store
from chivelb_core.document.model import Workspace
from chivelb_core.document.register import Register
from chivelb_core.document.routes import RouteTable

__all__ = [
    "Change",
    "Document",
    "Limits",
    "Model",
    "Operation",
    "Engine",
    "Register",
    "Replacement",
    "Route",
    "RouteTable",
    "Rule",
    "Service",
    "Share",
    "Store",
    "Workspace",
    "find_problems",
    "find_route_problems",
]
