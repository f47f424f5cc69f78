"""The commands that show a group's leases and revoke them."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path

from heronreel.fault_injection.harness import Harness
from heronreel.fault_injection.managed_process import ROOT
from heronreel.leases.lease import LeaseTerms
from heronreel.leases.session import LeaseSession


def test_commands_show_and_revoke_claims(tmp_path: Path) -> None:
    async def run_command(*arguments: str) -> tuple[int, str]:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "heronreel.cli", *arguments, cwd=ROOT,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT,
        )  # fmt: skip
        out, _ = await process.communicate()
        return process.returncode or 0, out.decode()

    async def run() -> None:
        async with Harness(tmp_path, ("a",), 10) as harness:
            await harness.wait_until_available()
            members = f"a={harness.address('a')}"
            async with LeaseSession(harness.addresses, "roller", LeaseTerms()) as session:
                claim = session.claim("release")
                token = await session.wait_acquired(claim)
                presence = session.announce_presence("p1", b"zone=etna")
                await session.wait_acquired(presence)
                code, out = await run_command("leases", "--members", members, "--json")
                rows = json.loads(out)
                assert code == 0 and rows["present"][0]["name"] == "p1"
                (row,) = rows["held"]
                assert (row["task"], row["by"], row["number"]) == ("release", "roller", token)
                assert 0 <= row["left_s"] <= 6
                code, out = await run_command("leases", "--members", members, "--take", "release")
                assert code == 0 and str(token) in out
                assert (await run_command("leases", "--members", members, "--take", "nothing"))[0] == 1
                # The holder notices the loss, and acquires the claim again with a greater fencing token.
                async with asyncio.timeout(20):
                    while claim.granted_token in (0, token):
                        await asyncio.sleep(0.02)
                assert claim.granted_token > token
            harness.members["a"].send_signal(signal.SIGTERM)
            assert await harness.members["a"].wait_for_exit() == 0
            assert (await run_command("leases", "--members", members))[0] == 2
        invalid = tmp_path / "bad.toml"
        invalid.write_text('[[members]]\nname = "a"\naddress = "127.0.0.1:1"\n' * 2)
        code, out = await run_command("coordinate", str(invalid), "--name", "a")
        assert code == 78 and ": 4: members.a: " in out

    asyncio.run(run())
