"""Names, numbers and limits come only from the settings: the program contains none of a deployment."""

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
PROGRAM_FILES = [
    path for folder in ("heronreel/balancer", "heronreel/proxy") for path in (ROOT / folder).rglob("*.py")
]
PROGRAM_FILES.append(ROOT / "deploy" / "balancer.toml")
EFFECTS = ("idempotent", "deduplicated", "at_most_once")


def defined_names(site: dict[str, Any]) -> set[str]:
    """Return all names that a deployment's site file defines."""
    tiers, net = site["tier"], site["net"]
    kinds = (kind for tier in tiers for kind in tier.get("kind", ()))
    named = [*site["class"], *site["tenant"], *tiers, *kinds]
    return {site["name"], *net["zones"], *(item["name"] for item in named)}


def test_the_program_contains_no_name_of_a_deployment() -> None:
    assert len(SITES) >= 2
    program_words = set(re.findall(r"[\w-]+", "\n".join(path.read_text() for path in PROGRAM_FILES)))
    for path in SITES:
        site = tomllib.loads(path.read_text())
        assert len(defined_names(site)) > 8
        assert not defined_names(site) & program_words, path.name


@pytest.mark.parametrize("seed", range(3))
def test_a_deployment_with_random_names_is_served(tmp_path: Path, seed: int) -> None:
    rng = random.Random(seed)

    def name() -> str:
        return "".join(rng.choices(string.ascii_lowercase + "-", k=rng.randint(3, 20))).strip("-") + "x"

    classes: list[dict[str, Any]] = [
        {
            "Name": name(),
            "OnTimeMs": rng.uniform(300.0, 3000.0),
            "HardLimitMs": rng.uniform(4000.0, 9000.0),
            "Worth": rng.uniform(0.1, 50.0),
            "Effect": effect,
            "DedupScope": rng.choice(["zone", "cell", "all"]),
            "RepeatWindowMs": rng.uniform(50.0, 9000.0),
        }
        for effect in EFFECTS
    ]
    tenants = [{"Name": name(), "Portion": 0.5, "QuotaPerS": rng.uniform(5.0, 50.0)} for _ in range(2)]
    zones = [name() for _ in range(rng.randint(1, 4))]

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
                    for number, request_class in enumerate(classes):
                        tenant = f"X-Tenant: {tenants[0]['Name']}\r\n"
                        sent = request(f"a{number}", request_class["Name"], extra=tenant)
                        if request_class["Effect"] == "idempotent":
                            sent = request(f"a{number}", "read").replace(
                                b"read", request_class["Name"].encode()
                            )
                        if request_class["Effect"] == "at_most_once":
                            sent = re.sub(rb"Idempotency-Key: .*?\r\n", b"", sent)
                        reader, writer = await proxy.connect()
                        writer.write(sent)
                        assert await read_response(reader) == ("200", b"a%d" % number), ("seed", seed)
                    # The class of the other tests does not exist here.
                    assert (await proxy.send_request("a9", "save"))[0] == "400"

    run(scenario())
