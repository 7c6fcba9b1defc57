"""Names that the users' platform defines: headers, streams, paths."""

SETTINGS_ENV_VARIABLE = "CASSIAWALK_NODE_FILE"

READY_PATH = b"/cassiawalk/ready"

# Headers of callers' requests.
REQUEST_ID = b"x-request-id"
DEADLINE = b"x-deadline-ms"  # the remaining time in ms, not a point in time
API_KEY = b"api-key"
TOKEN_COUNTS = b"x-token-usage"  # prompt tokens and the limit of output tokens, not usage
PROMPT_PARTS = b"x-prompt-prefix"  # all parts of the prompt; the last one is not shared
LAST_EVENT = b"last-event-id"

# Headers of requests to upstreams that only cassiawalk may set.
EXPECTED_UPSTREAM = b"X-Expect-Instance"
WORKSPACE = b"X-Tenant"
URGENCY = b"X-Request-Priority"
REMAINING_TIME = b"X-Deadline-Ms"  # the remaining time in ms, as in callers' requests
RESUME_AFTER = b"Last-Event-Id"
FETCH_FROM = b"Kv-Fetch"  # the address of the engine to fetch from, not a key of the cache
RESERVED_HEADERS = frozenset(
    (
        API_KEY,
        DEADLINE,
        EXPECTED_UPSTREAM.lower(),
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
NOT_EXECUTED = b"x-not-executed"
NOT_EXECUTED_YES = frozenset((b"1", b"true", b"yes"))  # other values state nothing
UPSTREAM_ID = b"x-instance-id"  # in answers of the health check only
LOAD = b"x-server-load"  # running, waiting, slots, and the pace in percent if known
REQUEST_ID_OUT = b"X-Request-Id"
RETRY_AFTER = b"Retry-After"

LEAVING = b"server-leaving"
LEAVING_YES = b"1"
ASKED_PAUSE = b"retry-after"  # in answers of upstreams, with the following status only
ASKED_PAUSE_STATUS = 503
NAMED_LIMIT = b"server-limit"  # requests a second from all hosts together

WRONG_UPSTREAM_STATUS = 421

STORE_ERA = b"store-era"  # rises each time the store has returned from an older copy

# Streams of the store; each record of a keyed stream replaces older ones of its key.
CONFIG_STREAM = "keyed.op"
CONFIG_KEY = "config"
ROLLOUT_PREFIX = "rollout/"  # before a service, in keys of orders and of their status
STATUS_STREAM = "keyed.status"
ROLLOUT_STREAM = "keyed.rollouts"  # states of rollouts, of our own
UPSTREAM_STREAM = "keyed.servers"
HOST_STREAM = "keyed.hosts"
SUSPECT_STREAM = "keyed.suspects"
KEYED_PREFIX = "keyed."

# Headers of duty calls.
DUTY_HOLDER = b"X-Duty-Holder"
FENCING_TOKEN = b"X-Fencing-Token"
