"""Test of an agent's settings file with 1,024 instances."""

from heronreel.fleet.agent_settings import load

INSTANCE_COUNT = 1024
SETTINGS_WITHOUT_INSTANCES = """[agent]
name = "a"
folder = "agent"
address = "127.0.0.1:1"
group = ["127.0.0.1:2"]

[[versions]]
name = "v"
run = ["true"]
"""


def test_a_settings_file_may_have_1024_instances() -> None:
    tables = [
        f'[[instances]]\nname = "i{number}"\nlisten = "127.0.0.1:{2000 + number}"\n'
        for number in range(INSTANCE_COUNT)
    ]
    assert len(load((SETTINGS_WITHOUT_INSTANCES + "".join(tables)).encode()).instances) == INSTANCE_COUNT
