"""An agent's settings file with 1,024 instances."""

from heronreel.fleet.agent_settings import load

COUNT = 1024
HEAD = """[agent]
name = "a"
folder = "agent"
address = "127.0.0.1:1"
group = ["127.0.0.1:2"]

[[versions]]
name = "v"
run = ["true"]
"""


def test_an_agent_takes_1024_instances() -> None:
    tables = [
        f'[[instances]]\nname = "i{number}"\nlisten = "127.0.0.1:{2000 + number}"\n'
        for number in range(COUNT)
    ]
    assert len(load((HEAD + "".join(tables)).encode()).instances) == COUNT
