"""Applies changes of the settings file while the host runs."""

import pathlib

import eliot

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.errors import CassiawalkError
from cassiawalk.ingressnode.node import IngressNode
from cassiawalk.platform.duties import PlatformDuties
from cassiawalk.platform.settings import PlatformSettings
from cassiawalk.platform.settings import load_settings
from cassiawalk.platform.store import PlatformStore

FILE_CHECK_INTERVAL_S = 2.0  # the file may change without a SIGHUP


class SettingsReload(Component):
    """Reloads the settings file on SIGHUP and, without a signal, when the file has changed."""

    def __init__(
        self,
        *,
        path: pathlib.Path,
        cfg: PlatformSettings,
        node: IngressNode,
        store: PlatformStore,
        duties: PlatformDuties | None,
        clock: Clock,
    ) -> None:
        self._path = path
        self._cfg = cfg
        self._node = node
        self._store = store
        self._duties = duties
        self._clock = clock
        self._last_stamp = self._file_stamp()

    async def start(self) -> None:
        """Start watching the file."""
        self.keep_running(self._watch, name="settings")

    def reload(self) -> None:
        """Apply the file as far as possible without a restart; a faulty file changes nothing."""
        self._last_stamp = self._file_stamp()
        try:
            cfg = load_settings(self._path)
        except CassiawalkError as exc:
            eliot.log_message(message_type="settings:refused", reason=exc.message)
            return
        needs_restart = self._node.reconfigure(cfg.profile.bounds)
        needs_restart += _fields_needing_restart(self._cfg, cfg)
        if cfg.store_address != self._cfg.store_address:
            self._store.set_address(cfg.store_address)
        if self._duties is not None and cfg.duty_address not in (None, self._cfg.duty_address):
            self._duties.set_address(cfg.duty_address)
        self._cfg = cfg
        eliot.log_message(
            message_type="settings:reloaded", path=str(self._path), needs_restart=needs_restart
        )

    async def _watch(self) -> None:
        while True:
            await self._clock.sleep(FILE_CHECK_INTERVAL_S)
            if self._file_stamp() != self._last_stamp:
                self.reload()

    def _file_stamp(self) -> tuple[int, int] | None:
        try:
            found = self._path.stat()
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size


def _fields_needing_restart(old: PlatformSettings, new: PlatformSettings) -> list[str]:
    """Return the changed fields of the profile that need a restart."""
    names = (
        "host_id",
        "failure_domain",
        "caller_address",
        "ready_address",
        "peer_address",
        "queueing",
        "prefix_estimate",
    )
    return [name for name in names if getattr(old.profile, name) != getattr(new.profile, name)]
