"""Names on this platform's wire."""

SETTINGS_VARIABLE = "CASSIAWALK_NODE_FILE"

READY_PATH = b"/cassiawalk/ready"

# Headers of callers' requests.
REQUEST_ID = b"x-request-id"
DEADLINE = b"x-deadline-ms"
KEY = b"api-key"
TOKENS = b"x-token-usage"  # the prompt's tokens and the most to be generated, not what was used
PROMPT_PARTS = b"x-prompt-prefix"
LAST_EVENT = b"last-event-id"

# Headers that only cassiawalk may set on what upstreams get.
UPSTREAM = b"X-Expect-Instance"
WORKSPACE = b"X-Tenant"
URGENCY = b"X-Request-Priority"
LEFT = b"X-Deadline-Ms"
RESUME_AFTER = b"Last-Event-Id"
FETCH_FROM = b"Kv-Fetch"  # the address of another engine, not of what is fetched
OWN_HEADERS = frozenset(
    (
        KEY,
        DEADLINE,
        UPSTREAM.lower(),
        WORKSPACE.lower(),
        URGENCY.lower(),
        b"x-expect-version",
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        FETCH_FROM.lower(),
        b"x-duty-holder",
        b"x-fencing-token",
    )
)

# Headers of answers.
SIGNATURE = b"x-response-seal"
NOT_RUN = b"x-not-executed"
LOAD = b"x-server-load"
REQUEST_ID_OUT = b"X-Request-Id"
RETRY_AFTER = b"Retry-After"

WRONG_UPSTREAM_STATUS = 421

# Streams of the store.
CONFIG_STREAM = "keyed.op"
CONFIG_KEY = "config"
UPSTREAM_STREAM = "keyed.servers"
HOST_STREAM = "keyed.hosts"
KEYED_PREFIX = "keyed."

# Duties.
HOLDER = b"X-Duty-Holder"
FENCE = b"X-Fencing-Token"
