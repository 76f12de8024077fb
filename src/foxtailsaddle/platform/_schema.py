"""Names of the store's tables and the decoding of their rows."""

from ..core import DataCentre, ListedEndpoint, RouteTable
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

    def evacuated_data_centre(self, key: str) -> DataCentre | None:
        """Return the data centre that a row of the configuration's table evacuates.

        The operator evacuates it for as long as the row exists, whatever its value.
        """
        prefix, name = names.EVACUATION_KEY_PREFIX, ""
        if key.startswith(prefix):
            name = key.removeprefix(prefix)
        return DataCentre(name) if name else None

    def decode_endpoint(self, key: str, value: bytes) -> ListedEndpoint:
        """Decode an entry of the endpoint list.

        :raises UnreadableInputError: it names no endpoint to use.
        """
        return decode_endpoint_entry(key, value)
