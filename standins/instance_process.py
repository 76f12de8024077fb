"""One instance in a process of its own, whose connections to endpoints can be cut."""

import contextlib
import json
import pathlib
import threading
import time

import fire

from foxtailsaddle.cli._serve_platform import serve_platform

from .cuts import CutKind, InstanceCut, intercepted_sockets, present_cut
from .datagram_losses import lossy_datagrams

POLL_S = 0.02


def serve(config: str, control: str, losses: int = 0) -> None:
    """Run an instance.

    :param config: path of the settings file.
    :param control: path of a file that says which cut applies, see :func:`_follow`.
    :param losses: seed of the losses of datagrams to others; 0 for none.
    """
    cut = InstanceCut()
    present_cut.set(cut)
    follower = threading.Thread(
        target=_follow, args=(cut, pathlib.Path(control)), daemon=True
    )
    follower.start()
    network = lossy_datagrams(losses) if losses else contextlib.nullcontext()
    with intercepted_sockets(), network:
        serve_platform(config, "INFO")


def _follow(cut: InstanceCut, control: pathlib.Path) -> None:
    """Apply the cut in a file: its kind, and addresses as ``host:port``."""
    present = ""
    while True:
        time.sleep(POLL_S)
        content = control.read_text() if control.exists() else ""
        if content == present:
            continue
        present = content
        fields = json.loads(content)
        pairs = [address.rpartition(":") for address in fields["addresses"]]
        if pairs:
            addresses = [(host, int(port)) for host, _, port in pairs]
            cut.begin(CutKind(fields["kind"]), addresses)
        else:
            cut.heal()


if __name__ == "__main__":
    fire.Fire(serve)
