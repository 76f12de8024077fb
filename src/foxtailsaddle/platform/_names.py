"""Names of the platform's protocol: headers, paths, tables and status codes."""

REQUEST_ID = b"x-request-id"
DEADLINE_MS = b"x-deadline-ms"
PROMPT_PREFIX = b"x-prompt-prefix"
LAST_EVENT_ID = b"last-event-id"
SERVER_SEAL = b"x-server-seal"
CLIENT_ACCOUNT = b"x-tenant"
EXPECT_INSTANCE = b"x-expect-instance"
NOT_RUN = b"x-not-executed"
RETRY_AFTER = b"retry-after"
SERVER_LEAVING = b"server-leaving"
COLD_MS = b"x-cold-ms"
SERVER_LIMIT = b"server-limit"
INSTANCE_ID = b"x-instance-id"
MODEL = b"x-model"
TOKEN_COUNTS = b"x-token-usage"
PRIORITY = b"x-request-priority"
EXPECT_VERSION = b"x-expect-version"
HELPERS = b"x-helpers"
LENGTH_HINT = b"x-length-hint"
AUTHORIZATION = b"authorization"
FAILED_ENDPOINT = b"at-server"
STORE_ERA = b"store-era"
AUTHORIZATION_SCHEME = "token"

SETTINGS_PATH_VARIABLE = "FOXTAILSADDLE_BOOT"

POOL_CONTRACT = "pool"  # client accounts compete for the engines' slots

ROWS_GET_PATH = "/rows-get"
ROWS_FEED_PATH = "/rows-feed"
ROWS_WRITE_PATH = "/rows-tx"
ORDER_PATH = "/order"
REPORT_PATH = "/report"

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
EVACUATION_KEY_PREFIX = "evacuate/"
ENDPOINT_TABLE = "servers"
INSTANCE_TABLE = "instances"

STATUS_MISDIRECTED_REQUEST = 421
STATUS_SERVICE_UNAVAILABLE = 503
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))  # callers repeat the request
