"""Names of the store's tables and the decoding of their rows."""

from ..core import ListedEndpoint, RouteTable
from . import _names as names
from ._configuration import decode_configuration
from ._endpoint_entries import decode_endpoint_entry


class PlatformSchema:
    """Tables of the platform's store, and the formats of their rows."""

    configuration_table = names.CONFIGURATION_TABLE
    configuration_key = names.CONFIGURATION_KEY
    endpoint_table = names.ENDPOINT_TABLE
    instance_table = names.INSTANCE_TABLE

    def decode_configuration(self, value: bytes) -> RouteTable:
        """Decode the operator's configuration."""
        return decode_configuration(value)

    def decode_endpoint(self, key: str, value: bytes) -> ListedEndpoint | None:
        """Decode an entry of the endpoint list; ``None`` if it is malformed."""
        return decode_endpoint_entry(key, value)
