"""Takes a changed settings file over while the host runs."""

import pathlib

import eliot

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.errors import CassiawalkError
from cassiawalk.ingress.node import IngressNode
from cassiawalk.platform.duties import PlatformDuties
from cassiawalk.platform.settings import PlatformSettings
from cassiawalk.platform.settings import load_settings
from cassiawalk.platform.store import PlatformStore

CHECK_S = 2.0  # the file may change without a signal


class SettingsReload(Component):
    """Looks at the file at each signal, and now and then without one."""

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
        self._seen = self._stamp()

    async def start(self) -> None:
        """Begin to look at the file."""
        self.spawn(self._watch(), name="settings")

    def reload(self) -> None:
        """Take the file over as far as that can be done; a faulty one changes nothing."""
        self._seen = self._stamp()
        try:
            cfg = load_settings(self._path)
        except CassiawalkError as exc:
            eliot.log_message(message_type="settings:refused", reason=exc.message)
            return
        needs_restart = self._node.reconfigure(cfg.profile.bounds)
        needs_restart += _other_place(self._cfg, cfg)
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
            await self._clock.sleep(CHECK_S)
            if self._stamp() != self._seen:
                self.reload()

    def _stamp(self) -> tuple[int, int] | None:
        try:
            found = self._path.stat()
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size


def _other_place(old: PlatformSettings, new: PlatformSettings) -> list[str]:
    """Return the names of fields of a host's own place that differ."""
    names = ("host_id", "failure_domain", "caller_address", "ready_address", "peer_address")
    return [name for name in names if getattr(old.profile, name) != getattr(new.profile, name)]
