"""A small control plane on one machine: `make demo-control-plane`.

Starts three members, the example platform and a sender that follows them; sets an entry, waits until it is in
force at the sender, rolls it back, and ends everything. Exits with 0 only if both revisions came into force.
"""

import json
import secrets
import subprocess
import sys
import tempfile
from pathlib import Path

import demo

ROOT = Path(__file__).parent.parent
PATIENCE = 40.0  # s; for each step
MEMBERS = ("anna", "bert", "carl")
ENTRY = "config/settings/services/slot-order/promiseS", "3.5"


def ask(socket, *words):
    """What a command of `willownotch config` prints."""
    found = subprocess.run(
        [sys.executable, "-m", "willownotch", "config", *words, "--socket", str(socket)],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=PATIENCE,
    )
    if found.returncode:
        raise SystemExit(f"it ended with {found.returncode}: {found.stderr}")
    return found.stdout


def config(socket, *words):
    """Show a command and what it prints."""
    print("    $ willownotch config", *words)
    print("\n".join(f"    {text}" for text in ask(socket, *words).splitlines()))


def in_force(socket):
    """How many senders have which revision in force."""
    return json.loads(ask(socket, "status", "--json"))["serving"]["in_force"]


def member_settings(folder, name, seeds):
    """The settings file of a member."""
    file = folder / f"{name}.conf"
    file.write_text(
        f"""peers {{
    listen 127.0.0.1:0
    name   {name}
    keys   {folder}/keys
    {"seeds  " + " ".join(seeds) if seeds else ""}
}}
member {{
    folder    {folder}/{name}
    voters    {" ".join(MEMBERS)}
    followers 127.0.0.1:0
}}
control {{
    socket {folder}/{name}.socket
}}
""",
        encoding="utf-8",
    )
    return file


def sender_files(folder, discovery, followers):
    """Configuration and settings file of the sender."""
    made = json.loads((ROOT / "examples" / "config.json").read_text(encoding="utf-8"))
    made.update(listen="127.0.0.1:0", discovery=discovery, state=str(folder / "state"))
    (folder / "config.json").write_text(json.dumps(made), encoding="utf-8")
    blocks = "".join(
        f"    member {name} {{\n        address {address}\n    }}\n" for name, address in followers.items()
    )
    (folder / "sender.conf").write_text(
        f"follow {{\n    folder {folder}/followed\n    keys   {folder}/keys\n{blocks}}}\n", encoding="utf-8"
    )
    return folder / "config.json", folder / "sender.conf"


def main():
    """Play it, and end what was started."""
    processes = []
    with tempfile.TemporaryDirectory() as made:
        folder = Path(made)
        (folder / "keys").write_text(f"1 {secrets.token_hex(32)}\n", encoding="utf-8")
        try:
            print("three members agree on the configuration")
            seeds, followers, logs = [], {}, {}
            for name in MEMBERS:
                process, logs[name] = demo.start(
                    "-m",
                    "willownotch",
                    "member",
                    "--settings",
                    str(member_settings(folder, name, seeds)),
                    "--bootstrap",
                    pipe="stderr",
                )
                processes.append(process)
                seeds.append(demo.line(logs[name], r"listens for peers on (\S+)", PATIENCE)[1])
                followers[name] = demo.line(logs[name], r"listens for followers on (\S+)", PATIENCE)[1]
            print("the example platform, and a sender that follows them")
            toy, toy_lines = demo.start("-u", "examples/toy.py", "--port", "0", pipe="stdout")
            processes.append(toy)
            discovery = demo.line(toy_lines, r"discovery on (\S+)", PATIENCE)[1]
            file, settings = sender_files(folder, discovery, followers)
            sender, said = demo.start(
                "-m",
                "willownotch",
                "serve",
                "--config",
                str(file),
                "--settings",
                str(settings),
                pipe="stderr",
            )
            processes.append(sender)
            demo.line(said, r"follows (anna|bert|carl)", PATIENCE)
            print("an entry is set at one member, and in force at the sender")
            socket = folder / "bert.socket"
            config(socket, "set", *ENTRY)
            demo.line(said, r"revision 1 is in force", PATIENCE)
            print("all members know who has it")
            while in_force(folder / "carl.socket") != {"1": 1}:
                pass
            config(folder / "carl.socket", "status")
            print("it is rolled back, by a new revision")
            config(socket, "rollback", "0")
            demo.line(said, r"revision 2 is in force", PATIENCE)
            config(socket, "history")
            print("both revisions came into force: done")
        finally:
            for process in processes:
                process.kill()
                process.wait()


if __name__ == "__main__":
    main()
