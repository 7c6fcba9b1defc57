"""The daemon's settings: an INI file that is validated completely before anything starts."""

import abc
import collections.abc as cabc
import configparser
import dataclasses
import os
import pathlib
import typing as t

from cassiawalk.errors import CassiawalkError
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId


@dataclasses.dataclass(frozen=True, kw_only=True)
class Address:
    """An IP address and port; port 0 lets the system choose."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


@dataclasses.dataclass(frozen=True, kw_only=True)
class SettingFault:
    """One setting that is invalid, missing or unknown."""

    section: str
    key: str
    value: str | None
    allowed: str

    def __str__(self) -> str:
        found = "is missing" if self.value is None else f"has the value {self.value!r}"
        return f"[{self.section}] {self.key} {found}; allowed: {self.allowed}"


class SettingsError(CassiawalkError):
    """The settings are invalid; the message lists every fault."""

    def __init__(self, path: str, faults: cabc.Sequence[SettingFault]) -> None:
        lines = [f"{path}: {len(faults)} fault(s) in the settings"]
        super().__init__("\n  ".join(lines + [str(fault) for fault in faults]))
        self.faults = tuple(faults)


class SettingType(abc.ABC):
    """Parses and validates the text of a setting.

    ``allowed`` describes the valid texts in messages and in the reference.
    """

    allowed: str

    @abc.abstractmethod
    def parse(self, text: str) -> t.Any:
        """Return the value.

        :raises ValueError: if the text is not allowed.
        """


class NameType(SettingType):
    """A name of 1 to 64 letters, digits, hyphens and underscores."""

    allowed = "letters, digits, '-', '_' (1 to 64 characters)"

    def parse(self, text: str) -> str:
        """Return the name."""
        if not 1 <= len(text) <= 64 or not text.replace("-", "").replace("_", "").isalnum():
            raise ValueError(text)
        return text


class AddressType(SettingType):
    """An IP address and port as ``ip:port``."""

    allowed = "an IP number and a port from 0 to 65535, as 127.0.0.1:8080"

    def parse(self, text: str) -> Address:
        """Return the address."""
        ip, _, port = text.rpartition(":")
        if not ip or not port.isdigit() or int(port) > 65535:
            raise ValueError(text)
        if not all(char in "0123456789.:abcdefABCDEF[]" for char in ip):
            raise ValueError(text)
        return Address(ip=ip.strip("[]"), port=int(port))


class UrlType(SettingType):
    """An http or https URL."""

    allowed = "a URL that starts with http:// or https://"

    def parse(self, text: str) -> str:
        """Return the URL without trailing slashes."""
        if not text.startswith(("http://", "https://")) or text.endswith("://"):
            raise ValueError(text)
        return text.rstrip("/")


class NumberType(SettingType):
    """A number from ``low`` to ``high``, both included."""

    def __init__(self, *, low: float, high: float, unit: str, whole: bool = False) -> None:
        self._low = low
        self._high = high
        self._whole = whole
        kind = "a whole number" if whole else "a number"
        self.allowed = f"{kind} from {low:g} to {high:g} ({unit})"

    def parse(self, text: str) -> float | int:
        """Return the number."""
        value = int(text) if self._whole else float(text)
        if not self._low <= value <= self._high:
            raise ValueError(text)
        return value


class SecretSourceType(SettingType):
    """Where a secret is read from: ``file:PATH`` or ``env:NAME``."""

    allowed = "file:PATH or env:NAME"

    def parse(self, text: str) -> str:
        """Return the source as it is; ``read_secret`` reads the secret itself."""
        scheme, _, rest = text.partition(":")
        if scheme not in ("file", "env") or not rest:
            raise ValueError(text)
        return text


@dataclasses.dataclass(frozen=True, kw_only=True)
class SettingSpec:
    """One key of the settings file; it is required if ``default`` is None."""

    section: str
    key: str
    type: SettingType
    default: str | None
    meaning: str


def _spec(
    section: str, key: str, kind: SettingType, default: str | None, meaning: str
) -> SettingSpec:
    return SettingSpec(section=section, key=key, type=kind, default=default, meaning=meaning)


_DURATION = NumberType(low=0, high=86400, unit="seconds")
_LONG_DURATION = NumberType(low=1, high=10_000_000, unit="seconds")

SPECS: tuple[SettingSpec, ...] = (
    _spec("host", "id", NameType(), None, "Name of this host, as in the host list."),
    _spec("host", "failure_domain", NameType(), None, "Failure domain of this host."),
    _spec("host", "region", NameType(), "default", "Region of this host."),
    _spec("host", "caller_address", AddressType(), None, "Where callers' HTTP is served."),
    _spec("host", "peer_address", AddressType(), None, "Where other hosts connect."),
    _spec("host", "admin_address", AddressType(), None, "Where operators' HTTP is served."),
    _spec("platform", "log_url", UrlType(), None, "The append-only log service."),
    _spec("platform", "host_list_url", UrlType(), None, "The host list."),
    _spec("platform", "cloud_url", UrlType(), None, "The cloud API."),
    _spec("secrets", "peer_secret", SecretSourceType(), None, "Secret shared by all hosts."),
    _spec(
        "secrets",
        "operator_tokens",
        SecretSourceType(),
        None,
        "Lines of operator name, role (read or write) and token.",
    ),
    _spec("drain", "limit_s", _DURATION, "120", "Longest graceful stop, in seconds."),
    _spec(
        "drain",
        "notice_s",
        _DURATION,
        "20",
        "Time left after a reclaim notice that names no time, in seconds.",
    ),
    _spec(
        "once",
        "window_s",
        NumberType(low=60, high=86400, unit="seconds"),
        "3600",
        "Idempotency window, in seconds; the log must retain twice as much and 10 min more.",
    ),
    _spec(
        "once",
        "partitions",
        NumberType(low=1, high=1024, unit="partitions", whole=True),
        "16",
        "Partitions of idempotency keys; the same on every host.",
    ),
    _spec(
        "control",
        "staleness_bound_s",
        _DURATION,
        "20",
        "How long configuration is served without proof that it is current, in seconds.",
    ),
    _spec(
        "control",
        "outage_bound_s",
        _LONG_DURATION,
        "3600",
        "How long configuration is served in an outage that the log itself reports, in seconds.",
    ),
    _spec(
        "control",
        "retention_s",
        _LONG_DURATION,
        "86400",
        "How long the log keeps records, in seconds; snapshots are published well inside it.",
    ),
    _spec(
        "control",
        "snapshot_every",
        NumberType(low=1, high=1_000_000, unit="records", whole=True),
        "1024",
        "Records of configuration between snapshots.",
    ),
    _spec(
        "connections",
        "max_descriptors",
        NumberType(low=0, high=10_000_000, unit="descriptors", whole=True),
        "0",
        "Descriptors that the daemon may use; callers may hold half of them, operators a sixteenth."
        " 0: as many as its resource limit allows.",
    ),
    _spec(
        "connections",
        "stall_timeout_s",
        NumberType(low=0.1, high=86400, unit="seconds"),
        "60",
        "How long a client may take less than 16 bytes a second of a waiting response, in seconds.",
    ),
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """All settings, parsed.

    Fields are named ``<section>_<key>`` for the sections ``drain``, ``once``, ``control`` and
    ``connections``, and ``<key>`` for the others; ``id`` of the section ``host`` is ``host_id``.
    """

    host_id: HostId
    failure_domain: FailureDomain
    region: str
    caller_address: Address
    peer_address: Address
    admin_address: Address
    log_url: str
    host_list_url: str
    cloud_url: str
    peer_secret: str
    operator_tokens: str
    drain_limit_s: float
    drain_notice_s: float
    once_window_s: float
    once_partitions: int
    control_staleness_bound_s: float
    control_outage_bound_s: float
    control_retention_s: float
    control_snapshot_every: int
    connections_max_descriptors: int
    connections_stall_timeout_s: float


_PREFIXED_SECTIONS = ("drain", "once", "control", "connections")


def load_settings(path: pathlib.Path) -> Settings:
    """Return the settings of an INI file.

    :raises SettingsError: if the file can't be read or is invalid; it holds every fault found.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with path.open(encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, configparser.Error) as exc:
        fault = SettingFault(section="file", key="path", value=str(exc), allowed="an INI file")
        raise SettingsError(str(path), [fault]) from exc
    faults = _unknown_keys(parser)
    values: dict[str, t.Any] = {}
    for spec in SPECS:
        value = _parse(parser, spec, faults)
        values[_field_name(spec)] = value
    if faults:
        raise SettingsError(str(path), faults)
    return Settings(**values)


def read_secret(source: str) -> str:
    """Return the secret at a ``file:`` or ``env:`` source, without surrounding white space.

    :raises CassiawalkError: if the secret can't be read or is empty.
    """
    scheme, _, name = source.partition(":")
    try:
        text = os.environ[name] if scheme == "env" else pathlib.Path(name).read_text("utf-8")
    except (KeyError, OSError, UnicodeDecodeError) as exc:
        raise CassiawalkError(f"the secret {source!r} can't be read: {type(exc).__name__}") from exc
    if not text.strip():
        raise CassiawalkError(f"the secret {source!r} is empty")
    return text.strip()


def _field_name(spec: SettingSpec) -> str:
    if spec.section in _PREFIXED_SECTIONS:
        return f"{spec.section}_{spec.key}"
    return "host_id" if spec.key == "id" else spec.key


def _parse(
    parser: configparser.ConfigParser, spec: SettingSpec, faults: list[SettingFault]
) -> t.Any:
    text = parser.get(spec.section, spec.key, fallback=spec.default)
    try:
        if text is None:
            raise ValueError("missing")
        return spec.type.parse(text)
    except ValueError:
        faults.append(
            SettingFault(section=spec.section, key=spec.key, value=text, allowed=spec.type.allowed)
        )
        return None


def _unknown_keys(parser: configparser.ConfigParser) -> list[SettingFault]:
    faults = []
    for section in parser.sections():
        known = [spec.key for spec in SPECS if spec.section == section]
        allowed = ", ".join(known) or "one of the sections in docs/OPERATIONS.md"
        for key in parser.options(section):
            if key not in known:
                value = parser.get(section, key)
                faults.append(SettingFault(section=section, key=key, value=value, allowed=allowed))
    return faults
