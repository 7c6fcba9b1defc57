"""Reads the settings file that the platform places on each host."""

import dataclasses
import pathlib

from cassiawalk.errors import UsageError
from cassiawalk.errors import WireError
from cassiawalk.http1 import MAX_BUFFERED_BYTES
from cassiawalk.http1 import STALL_TIMEOUT_S
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId
from cassiawalk.ingressnode.profile import FleetBounds
from cassiawalk.ingressnode.profile import HostProfile
from cassiawalk.platform import _fields as fields
from cassiawalk.rollouts.types import RolloutLimits
from cassiawalk.settings import Address


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformSettings:
    """The content of the file: the host's profile and the addresses of the platform."""

    profile: HostProfile
    store_address: str
    duty_address: str | None


def load_settings(path: pathlib.Path) -> PlatformSettings:
    """Return the settings in a file.

    :raises UsageError: if the file can't be read, or a field is missing or malformed.
    """
    try:
        return _settings(fields.parse_object(path.read_bytes()))
    except OSError as exc:
        raise UsageError(f"the settings file {path} can't be read: {exc.strerror}") from None
    except WireError as exc:
        raise UsageError(f"the settings file {path} is faulty: {exc.message}") from None


def _settings(table: fields.JsonObject) -> PlatformSettings:
    # "cloud_api" serves all duty calls, usage reports included.
    duties = fields.object_field(table, "cloud_api") if table.get("cloud_api") else None
    return PlatformSettings(
        profile=_profile(table),
        store_address=fields.string_field(fields.object_field(table, "platform"), "address"),
        duty_address=None if duties is None else fields.string_field(duties, "address"),
    )


def _profile(table: fields.JsonObject) -> HostProfile:
    listen = fields.object_field(table, "listen")
    host_limits = _optional_object(table, "limits")
    own_limits = _optional_object(table, "connection_limits")
    placement = _optional_object(table, "placement")
    first, last = _port_range(table)
    peer_address = Address(ip=fields.string_field(table, "ip"), port=first)
    return HostProfile(
        host_id=HostId(fields.string_field(table, "node_name")),
        failure_domain=FailureDomain(fields.string_field(table, "zone")),
        caller_address=parse_address(fields.string_field(listen, "front")),
        ready_address=parse_address(fields.string_field(listen, "ready")),
        peer_address=peer_address,
        announced_peer_address=peer_address,
        last_peer_port=last,
        heartbeat_s=fields.number_field(table, "heartbeat_ms", 1000) / 1000,
        bounds=_fleet_bounds(fields.object_field(table, "bounds")),
        strength=_strength(host_limits),
        max_descriptors=fields.integer_field(host_limits, "max_fds", 0) or None,
        max_buffered_bytes=fields.integer_field(own_limits, "buffered_bytes", MAX_BUFFERED_BYTES),
        queueing=fields.boolean_field(_optional_object(table, "admission"), "queueing", True),
        stall_timeout_s=(
            fields.number_field(own_limits, "stall_timeout_ms", STALL_TIMEOUT_S * 1000) / 1000
        ),
        prefix_estimate=fields.boolean_field(placement, "prefix_estimate"),
    )


def _optional_object(table: fields.JsonObject, name: str) -> fields.JsonObject:
    return fields.object_field(table, name) if table.get(name) else {}


def _strength(limits: fields.JsonObject) -> float:
    # "cpu_share" is a fraction of one core, "cores" that core's speed as a multiple of the usual.
    cores = fields.number_field(limits, "cpu_share", 1.0) * fields.number_field(
        limits, "cores", 1.0
    )
    return cores * fields.number_field(limits, "link_mbps", 1.0)


def _port_range(table: fields.JsonObject) -> tuple[int, int]:
    ports = table.get("internal_port_range")
    if not isinstance(ports, list) or len(ports) != 2:
        raise WireError(f"field 'internal_port_range' is {ports!r}, not two ports")
    first, last = (fields.integer_field({"port": port}, "port") for port in ports)
    return first, last


def _fleet_bounds(bounds: fields.JsonObject) -> FleetBounds:
    defaults = FleetBounds()
    return FleetBounds(
        stop_s=fields.number_field(bounds, "grace_s", defaults.stop_s),
        repeat_ratio=fields.number_field(bounds, "retry_budget_ratio", defaults.repeat_ratio),
        repeat_extra=fields.number_field(bounds, "retry_budget_extra", defaults.repeat_extra),
        repeat_window_s=fields.number_field(bounds, "budget_window_s", defaults.repeat_window_s),
        usage_window_s=fields.number_field(bounds, "usage_window_s", defaults.usage_window_s),
        usage_late_s=fields.number_field(bounds, "usage_late_s", defaults.usage_late_s),
        quota_window_s=fields.number_field(bounds, "quota_window_s", defaults.quota_window_s),
        quota_ratio=fields.number_field(bounds, "quota_overage", defaults.quota_ratio),
        quota_amount=fields.number_field(bounds, "quota_slack", defaults.quota_amount),
        checks_fencing=fields.boolean_field(bounds, "require_fencing", defaults.checks_fencing),
        lease_s=fields.number_field(bounds, "lease_ms", defaults.lease_s * 1000) / 1000,
        rollouts=_rollout_limits(bounds),
    )


def _rollout_limits(bounds: fields.JsonObject) -> RolloutLimits | None:
    """Return the limits of rollouts, or None on a deployment without rollouts."""
    if bounds.get("canary_share") is None:
        return None
    return RolloutLimits(
        share=fields.number_field(bounds, "canary_share"),
        slack=fields.number_field(bounds, "canary_slack", 0.0),
    )


def parse_address(text: str) -> Address:
    """Return the address in a text.

    :raises WireError: if it is not ``IP:PORT``.
    """
    ip, _, port = text.rpartition(":")
    if not ip or not port.isdigit():
        raise WireError(f"{text!r} is not IP:PORT")
    return Address(ip=ip, port=int(port))
