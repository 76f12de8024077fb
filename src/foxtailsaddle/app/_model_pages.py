"""The model list of the callers' interface, in the OpenAI format."""

import typing as t

from ..core import ServiceId, ServiceKind, Tree
from ..errors import NotFoundError

OWNER = "foxtailsaddle"
CREATED_UNKNOWN = 0  # the settings don't record when a model was added


def models_page(tree: Tree) -> dict[str, t.Any]:
    """Return the list of all models."""
    names = sorted(
        service_id
        for service_id, service in tree.services.items()
        if service.kind is ServiceKind.MODEL
    )
    return {"object": "list", "data": [_entry(name) for name in names]}


def model_page(tree: Tree, name: str) -> dict[str, t.Any]:
    """Return one model.

    :raises NotFoundError: no model has that name.
    """
    service = tree.services.get(ServiceId(name))
    if service is None or service.kind is not ServiceKind.MODEL:
        raise NotFoundError(f'model "{name}" does not exist')
    return _entry(ServiceId(name))


def _entry(name: ServiceId) -> dict[str, t.Any]:
    return {
        "id": name,
        "object": "model",
        "created": CREATED_UNKNOWN,
        "owned_by": OWNER,
    }
