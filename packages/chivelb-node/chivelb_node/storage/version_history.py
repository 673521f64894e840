"""Software versions of services, kept on disk by control instances."""

import pathlib

import msgspec

from chivelb_node.storage import journal
from chivelb_node.telemetry import logs

FILE_NAME = "software-versions.json"
_log = logs.get_logger("version-history")


class VersionHistory:
    """The versions that served until recently, by service.

    Attributes:
        path: The file; None without a disk.
        written: Versions by service as last written; None if there is no
            readable file.
    """

    __slots__ = ("path", "written")

    def __init__(self, data_dir: str) -> None:
        """Reads the file of a data directory; empty for no disk."""
        self.path = pathlib.Path(data_dir) / FILE_NAME if data_dir else None
        self.written: dict[str, list[str]] | None = None
        if self.path is None or not self.path.exists():
            return
        try:
            self.written = msgspec.json.decode(
                self.path.read_bytes(), type=dict[str, list[str]]
            )
        except (OSError, msgspec.MsgspecError) as error:
            # As without a file: this instance has watched from now on only.
            _log.warning("version history not read", detail=str(error))

    def write(self, versions: dict[str, list[str]]) -> None:
        """Writes the versions durably; failures are logged."""
        if self.path is None:
            return
        try:
            self.path.parent.mkdir(parents=True, exist_ok=True)
            journal.replace_file(self.path, msgspec.json.encode(versions))
        except OSError as error:
            _log.warning("version history not written", detail=str(error))
            return
        self.written = versions
