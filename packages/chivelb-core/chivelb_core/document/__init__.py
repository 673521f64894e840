"""The configuration document: the desired state of the whole site.

A site is one whole deployment: all instances that share one configuration
document, in one or more regions with their availability zones, and the targets
that they send requests to.
"""

from chivelb_core.document.changes import Change
from chivelb_core.document.changes import DocumentReplacement
from chivelb_core.document.changes import Operation
from chivelb_core.document.model import CallRule
from chivelb_core.document.model import Document
from chivelb_core.document.model import EngineConfig
from chivelb_core.document.model import Limits
from chivelb_core.document.model import Model
from chivelb_core.document.model import Route
from chivelb_core.document.model import Service
from chivelb_core.document.model import StoreConfig
from chivelb_core.document.model import WeightedService
from chivelb_core.document.model import Workspace
from chivelb_core.document.routes import RouteTable
from chivelb_core.document.state import DocumentState
from chivelb_core.document.validation import validate_document
from chivelb_core.document.validation import validate_routes

__all__ = [
    "Change",
    "Document",
    "Limits",
    "Model",
    "Operation",
    "EngineConfig",
    "DocumentState",
    "DocumentReplacement",
    "Route",
    "RouteTable",
    "CallRule",
    "Service",
    "WeightedService",
    "StoreConfig",
    "Workspace",
    "validate_document",
    "validate_routes",
]
