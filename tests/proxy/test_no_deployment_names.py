"""Names, figures and limits come from the settings alone: nothing here knows a deployment."""

import random
import re
import string
import tomllib
from pathlib import Path
from typing import Any

import pytest

from tests.support.loopback import (
    ROOT,
    Backend,
    Discovery,
    configuration,
    entry,
    read_response,
    request,
    run,
    running_proxy,
)

SITES = sorted((ROOT / "deploy" / "sites").glob("*.toml"))
PROGRAM = [
    path for folder in ("heronreel/balancer", "heronreel/proxy") for path in (ROOT / folder).rglob("*.py")
]
PROGRAM.append(ROOT / "deploy" / "balancer.toml")
EFFECTS = ("idempotent", "deduplicated", "at_most_once")


def names_of(site: dict[str, Any]) -> set[str]:
    tiers, net = site["tier"], site["net"]
    kinds = (kind for tier in tiers for kind in tier.get("kind", ()))
    named = [*site["class"], *site["tenant"], *tiers, *kinds]
    return {site["name"], *net["zones"], *(each["name"] for each in named)}


def test_no_name_of_a_deployment_stands_in_the_program() -> None:
    assert len(SITES) >= 2
    words = set(re.findall(r"[\w-]+", "\n".join(path.read_text() for path in PROGRAM)))
    for path in SITES:
        site = tomllib.loads(path.read_text())
        assert len(names_of(site)) > 8
        assert not names_of(site) & words, path.name


@pytest.mark.parametrize("seed", range(3))
def test_a_deployment_of_names_made_up_at_random_is_served(tmp_path: Path, seed: int) -> None:
    draw = random.Random(seed)

    def name() -> str:
        return "".join(draw.choices(string.ascii_lowercase + "-", k=draw.randint(3, 20))).strip("-") + "x"

    classes: list[dict[str, Any]] = [
        {
            "Name": name(),
            "OnTimeMs": draw.uniform(300.0, 3000.0),
            "HardLimitMs": draw.uniform(4000.0, 9000.0),
            "Worth": draw.uniform(0.1, 50.0),
            "Effect": effect,
            "DedupScope": draw.choice(["zone", "cell", "all"]),
            "RepeatWindowMs": draw.uniform(50.0, 9000.0),
        }
        for effect in EFFECTS
    ]
    tenants = [{"Name": name(), "Portion": 0.5, "QuotaPerS": draw.uniform(5.0, 50.0)} for _ in range(2)]
    zones = [name() for _ in range(draw.randint(1, 4))]

    async def scenario() -> None:
        async with Backend() as backend:
            known = entry("b1", backend.address) | {"zone": zones[-1], "type": name()}
            async with Discovery(known) as discovery:
                config = configuration(discovery.address, known)
                settings = {
                    "Categories": classes,
                    "Tenants": tenants,
                    "FailureDomains": zones,
                    "Zone": zones[0],
                }
                config["settings"] = config["settings"] | settings
                async with running_proxy(tmp_path, config) as proxy:
                    for number, klass in enumerate(classes):
                        tenant = f"X-Tenant: {tenants[0]['Name']}\r\n"
                        sent = request(f"a{number}", klass["Name"], extra=tenant)
                        if klass["Effect"] == "idempotent":
                            sent = request(f"a{number}", "read").replace(b"read", klass["Name"].encode())
                        if klass["Effect"] == "at_most_once":
                            sent = re.sub(rb"Idempotency-Key: .*?\r\n", b"", sent)
                        reader, writer = await proxy.connect()
                        writer.write(sent)
                        assert await read_response(reader) == ("200", b"a%d" % number), ("seed", seed)
                    assert (await proxy.send_request("a9", "save"))[0] == "400"  # the other tests' class

    run(scenario())
