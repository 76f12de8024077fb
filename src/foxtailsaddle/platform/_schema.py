"""Tables of the store and how their rows are decoded."""

from ..core import ListedEndpoint, RouteTable
from . import _names as names
from ._configuration import decode_configuration
from ._list import decode_entry


class PlatformSchema:
    """Where the platform keeps its configuration and its list."""

    configuration_table = names.CONFIG_TABLE
    configuration_key = names.CONFIG_KEY
    endpoint_table = names.ENDPOINT_TABLE
    instance_table = names.INSTANCE_TABLE

    def configuration(self, value: bytes) -> RouteTable:
        """Decode the operator's configuration."""
        return decode_configuration(value)

    def endpoint(self, key: str, value: bytes) -> ListedEndpoint | None:
        """Decode an entry of the list."""
        return decode_entry(key, value)
