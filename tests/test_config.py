"""Configuration and inventory: a fault is rejected with the file, the entry and the key."""

import socket
from pathlib import Path
from typing import Any

import pytest
import ujson
from play import SETTINGS

from beechrock import config
from beechrock.config.platform import base
from beechrock.inventory import model as inventory
from beechrock.inventory.errors import InventoryError
from beechrock.members.settings import MembersSettings
from beechrock.settings import settings_from
from beechrock.start import serve_from_environment

TOLD: dict[str, Any] = {
    "name": "n3",
    "listen": "127.0.0.1:6565",
    "agent": "127.1.0.1:4400",
    "registry": "127.2.0.1:7946",
    "ledger": "127.1.0.2:5432",
    "seed": "8c1f30d27a5be964",
    "stop_ms": 3200,
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "settings": SETTINGS,
}
SHIPPED = Path(__file__).parent.parent / "deploy" / "inventory.yaml"
CSV = """group,host,team,service,share,rate,aim_ms,due_ms,effect,window_ms,upstreams,amount,period_s,cores,\
memory_mb
all,*,,,,,,,,,,,,6,64
teams,releases,,,,,,,,,,,,,
services,submit,,,,,,,,,127.0.0.1:9201 127.0.0.1:9202,,,,
contracts,*,releases,,,,1400,3600,,,,,,,
contracts,rs,,submit,0.4,65,,,keyed,10677,,,,,
budgets,day,releases,,,,,,,,,1000,86400,,
"""


def load(tmp_path: Path, document: object, **environ: str) -> config.Config:
    path = tmp_path / "config.json"
    path.write_text(document if isinstance(document, str) else ujson.dumps(document))
    return config.load({"LB_CONFIG": str(path), **environ}, tmp_path)


def test_a_full_configuration_is_read_and_environment_variables_override_it(tmp_path: Path) -> None:
    loaded = load(tmp_path, TOLD, LB_NAME="n9", LB_LISTEN="127.0.0.9:1")
    assert (loaded.name, loaded.listen, loaded.agent) == ("n9", ("127.0.0.9", 1), ("127.1.0.1", 4400))
    assert (loaded.stop_s, loaded.sockets, loaded.seed) == (3.2, 1024, 0x8C1F30D27A5BE964)
    assert [c.name for c in loaded.settings.classes] == ["resolve", "submit"]
    assert loaded.scgi is None


def test_the_admin_address_is_read_and_its_variable_overrides_it(tmp_path: Path) -> None:
    document = {**TOLD, "admin_addr": "127.0.0.1:9600"}
    assert load(tmp_path, TOLD).admin is None
    assert load(tmp_path, document).admin == ("127.0.0.1", 9600)
    assert load(tmp_path, document, LB_ADMIN_ADDR="127.0.0.1:9601").admin == ("127.0.0.1", 9601)
    with pytest.raises(config.ConfigError, match="LB_ADMIN_ADDR: 'here' is not HOST:PORT"):
        load(tmp_path, document, LB_ADMIN_ADDR="here")


def test_an_inherited_descriptor_is_a_listening_socket_at_the_named_address(tmp_path: Path) -> None:
    def load_with(fd: object, at: str) -> config.Config:
        return load(tmp_path, TOLD, LB_LISTEN=at, LB_LISTEN_FD=str(fd))

    assert load(tmp_path, TOLD).listen_fd is None
    with (
        socket.create_server(("127.0.0.1", 0)) as held,
        socket.socket() as idle,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams,
    ):
        port = held.getsockname()[1]
        assert load_with(held.fileno(), f"127.0.0.1:{port}").listen_fd == held.fileno()
        assert held.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)  # The check did not close the socket
        for fd, at, words in (
            ("x", "127.0.0.1:1", "'x': not the number of a descriptor"),
            (99_999, "127.0.0.1:1", "'99999': Bad file descriptor"),
            (10**30, "127.0.0.1:1", "too large"),
            (idle.fileno(), "127.0.0.1:1", "not a listening TCP socket"),
            (datagrams.fileno(), "127.0.0.1:1", "not a listening TCP socket"),
            (held.fileno(), "127.0.0.1:1", f"listens at 127.0.0.1:{port}, and not at 127.0.0.1:1"),
        ):
            with pytest.raises(config.ConfigError, match="LB_LISTEN_FD") as error:
                load_with(fd, at)
            assert words in str(error.value)


@pytest.mark.parametrize(
    ("change", "words"),
    [
        ({"agent": "nowhere"}, "agent: 'nowhere' is not HOST:PORT"),
        ({"listen": None}, "listen: None is not HOST:PORT"),
        ({"stop_ms": -1}, "stop_ms: -1 is not a number above 0"),
        ({"limits": {"sockets": "x"}}, "limits: sockets: 'x' is not a number above 0"),
        ({"limits": 3}, "limits: not an object"),
        ({"seed": "xyz"}, "seed: 'xyz' is not a number in hex"),
        ({"name": "two words"}, "name: one word is needed"),
        ({"settings": {"extra": {"cpus": 0}, "grades": [{}]}}, "settings: cpus: missing or not above 0"),
    ],
)
def test_a_faulty_key_is_named(tmp_path: Path, change: dict[str, Any], words: str) -> None:
    with pytest.raises(config.ConfigError, match=r"config\.json") as caught:
        load(tmp_path, {**TOLD, **change})
    assert words in str(caught.value)


@pytest.mark.parametrize(
    ("text", "words"),
    [("", "line 1 column 1"), ("[]", "not a JSON object"), ('{\n"name": n}', "line 2 column 9")],
)
def test_an_invalid_configuration_exits_with_code_2(
    tmp_path: Path, text: str, words: str, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "config.json"
    path.write_text(text)
    monkeypatch.setenv("LB_CONFIG", str(path))
    assert serve_from_environment() == 2
    said = capsys.readouterr().err
    assert said.count("\n") == 1 and f"{path}: " in said and words in said


def scgi(tmp_path: Path, text: str) -> config.Config:
    (tmp_path / "scgi.toml").write_text(text)
    return config.load({"LB_SCGI": str(tmp_path / "scgi.toml")}, tmp_path)


def test_the_scgi_front_alone_takes_its_settings_from_the_inventory(tmp_path: Path) -> None:
    loaded = scgi(tmp_path, f'enabled = true\nlisten = "127.0.0.1:4000"\ninventory = "{SHIPPED}"')
    assert loaded.listen is loaded.agent is None
    assert loaded.scgi is not None and loaded.scgi.listen == ("127.0.0.1", 4000)
    assert [t.name for t in loaded.settings.tenants] == ["packagers", "releases"]


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("enabled = true\nport = 3", "port: unknown key"),
        ("enabled = 1", "enabled: 1 is neither true nor false"),
        ("enabled = true", "inventory: the path of a file is needed"),
        ('enabled = true\nlisten = "127.0.0.1:1"\ninventory = "none.yaml"', "none.yaml: No such file"),
        ('enabled = true\ninventory = "x"\nlog = "xml"', "log: 'xml' is none of text, json"),
        ('enabled = true\ninventory = "x"\nstate = 3', "state: the path of a folder is needed"),
        ('enabled = true\ninventory = "x"\nmost_removed = 1.5', "most_removed: 1.5 is a part, and above 1"),
        (
            'enabled = true\ninventory = "x"\nlisten = "127.0.0.1:1"\nsettle_s = "soon"',
            "settle_s: 'soon' is not",
        ),
        (f'enabled = true\ninventory = "{SHIPPED}"', "listen: None is not HOST:PORT"),
        ("enabled = false", "LB_CONFIG: not set"),
        ("enabled", "scgi.toml"),
    ],
)
def test_a_fault_in_the_scgi_file_is_named(tmp_path: Path, text: str, words: str) -> None:
    with pytest.raises(config.ConfigError) as caught:
        scgi(tmp_path, text)
    assert words in str(caught.value)


def test_the_shipped_inventory_becomes_settings() -> None:
    found = inventory.load(SHIPPED)
    settings, _ = settings_from(found.settings)
    submit = settings.classes[found.classes["releases", "submit"]]
    assert (submit.name, submit.latency_objective_s, submit.idempotency_window_s, submit.budget_cost) == (
        "submit",
        1.4,
        10.677,
        5.0,
    )
    releases = settings.tenants[found.teams["releases"]]
    assert (releases.traffic_share, releases.quota_per_s) == (pytest.approx(0.6), 90.0)
    assert (releases.budget, releases.budget_period_s) == (2_000_000.0, 86_400.0)
    assert found.upstreams["resolve"] == (("127.0.0.1", 9101), ("127.0.0.1", 9102))
    assert ("packagers", "submit") not in found.classes


def test_csv_and_yaml_give_the_same_inventory(tmp_path: Path) -> None:
    (tmp_path / "i.csv").write_text(CSV)
    (tmp_path / "i.yaml").write_text("""
all:
  vars: {cores: 6, memory_mb: 64}
  children:
    teams: {hosts: {releases: {}}}
    services: {hosts: {submit: {upstreams: ["127.0.0.1:9201", "127.0.0.1:9202"]}}}
    contracts:
      vars: {team: releases, aim_ms: 1400, due_ms: 3600}
      hosts: {rs: {service: submit, share: 0.4, rate: 65, effect: keyed, window_ms: 10677}}
    budgets: {hosts: {day: {team: releases, amount: 1000, period_s: 86400}}}
""")
    assert inventory.load(tmp_path / "i.csv") == inventory.load(tmp_path / "i.yaml")


@pytest.mark.parametrize(
    ("old", "new", "words"),
    [
        ("share: 0.2,", "share: 0.2, shade: 1,", "releases-resolve: shade: unknown key (is share meant?)"),
        ("share: 0.2,", "", "contracts.releases-resolve: share: missing"),
        ("share: 0.2,", "share: 0.9,", "contracts: share: all shares add up to 1.7, above 1"),
        ("rate: 25", "rate: fast", "contracts.releases-resolve: rate: 'fast' is not a number"),
        ("rate: 25", "rate: .nan", "contracts.releases-resolve: rate: nan is not a number"),
        ("effect: keyed, ", "", "contracts.releases-submit: effect: missing"),
        ("window_ms: 10677, ", "", "contracts.releases-submit: window_ms: needed"),
        ("aim_ms: 1400", "aim_ms: 9400", "contracts.releases-submit: aim_ms: above due_ms"),
        ("service: submit,", "service: sing,", "service: sing is not in the inventory"),
        ("{team: packagers,", "{team: strangers,", "team: strangers is not in the inventory"),
        (
            "{team: packagers,",
            "{team: releases,",
            "contracts.releases-resolve: team, service: another contract",
        ),
        ("rate: 25, effect: safe", "rate: 25, effect: unsafe", "effect: differs from another contract"),
        ("releases-daily: {team: releases,", "releases-daily: {team: none,", "daily: team: none is not in"),
        ("    budgets:", "    budges:", "all.children: budges: unknown key (is budgets meant?)"),
        ("all:", "any:", "all.vars: cores: missing"),
        ("releases: {contact", "packagers: {contact", "packagers: stands twice, first at"),
        ("127.0.0.1:9201", "127.0.0.1", "services.submit: upstreams: '127.0.0.1' is not HOST:PORT"),
        ("cores: 6", "cores: true", "all.vars: cores: True is not a number"),
        ("cores: 6", "cores: [", "not YAML"),
        ("        submit: {upstreams", "        submit: 3 #", "services.submit: is not a mapping"),
    ],
)
def test_a_fault_in_an_inventory_is_named(tmp_path: Path, old: str, new: str, words: str) -> None:
    text = SHIPPED.read_text()
    assert old in text
    path = tmp_path / "i.yaml"
    path.write_text(text.replace(old, new, 1))
    with pytest.raises(InventoryError) as caught:
        inventory.load(path)
    assert str(caught.value).startswith(f"{path}:")
    assert words in str(caught.value)


@pytest.mark.parametrize(
    ("old", "new", "words"),
    [
        ("group,host", "group,name", ":1: the columns group and host are needed"),
        ("rate,aim_ms", "rate,rate", ":1: rate: a column stands twice"),
        ("teams,releases", "teems,releases", ":3: teems: unknown group (is teams meant?)"),
        ("teams,releases,", "teams,releases,,", ":3: 16 columns, not 15"),
        ("teams,releases", "teams,releases,,,,,,,,,,,,,\nteams,releases", "stands twice"),
        ("budgets,day,releases", "budgets,day,nobody", "budgets.day: team: nobody is not in the inventory"),
    ],
)
def test_a_fault_in_a_csv_inventory_is_named(tmp_path: Path, old: str, new: str, words: str) -> None:
    path = tmp_path / "i.csv"
    path.write_text(CSV.replace(old, new, 1))
    with pytest.raises(InventoryError) as caught:
        inventory.load(path)
    assert words in str(caught.value)


MEMBERS = '[members]\nenabled = true\nlisten = "127.0.0.1:0"\nfleet = "east"\nkey_file = "key"\n'


def members(tmp_path: Path, text: str) -> MembersSettings | None:
    (tmp_path / "key").write_text("a secret of sixteen bytes and more")
    (tmp_path / "short").write_text("short")
    (tmp_path / "scgi.toml").write_text(text)
    path = tmp_path / "config.json"
    path.write_text(ujson.dumps(TOLD))
    return config.load({"LB_SCGI": str(tmp_path / "scgi.toml"), "LB_CONFIG": str(path)}, tmp_path).members


def test_the_membership_is_off_unless_the_operators_file_says_so(tmp_path: Path) -> None:
    assert members(tmp_path, "") is None
    assert members(tmp_path, MEMBERS.replace("true", "false")) is None
    loaded = members(tmp_path, MEMBERS + 'seeds = ["127.0.0.1:9"]\nperiod_s = 0.5\nstate = "s"\n')
    assert loaded is not None and len(loaded.key) == 32
    assert (loaded.seeds, loaded.period_s, loaded.state) == (("127.0.0.1:9",), 0.5, tmp_path / "s")


@pytest.mark.parametrize(
    ("change", "words"),
    [
        (("listen =", "lisen ="), "lisen: unknown key"),
        (('"127.0.0.1:0"', '"nowhere"'), "listen: 'nowhere' is not HOST:PORT"),
        (('"east"', '""'), "fleet: a name of at most 64 bytes is needed"),
        (('"east"', f'"{"e" * 65}"'), "fleet: a name of at most 64 bytes is needed"),
        (('"key"', '"none"'), "key_file: none: No such file or directory"),
        (('key_file = "key"', ""), "key_file: the path of a file is needed"),
        (('"key"', '"short"'), "key_file: short: at least 16 bytes are needed"),
        (
            ("enabled = true", 'enabled = true\nseeds = ["127.0.0.1:9", "x"]'),
            "seeds[1]: 'x' is not HOST:PORT",
        ),
        (("enabled = true", "enabled = true\nseeds = 3"), "seeds: not a list"),
        (("enabled = true", "enabled = true\nperiod_s = 0"), "period_s: 0 is not a number above 0"),
        (("enabled = true", "enabled = true\nstate = 7"), "state: the path of a folder is needed"),
    ],
)
def test_a_faulty_key_of_the_membership_is_named(tmp_path: Path, change: tuple[str, str], words: str) -> None:
    with pytest.raises(config.ConfigError, match=r"scgi\.toml:\d+: members") as caught:
        members(tmp_path, MEMBERS.replace(*change))
    assert words in str(caught.value)


def test_a_table_that_needs_another_is_refused_without_it(tmp_path: Path) -> None:
    """The table [agree] alone once ended the start in a traceback."""
    (tmp_path / "op.toml").write_text('[agree]\nenabled = true\nvoters = ["n"]\n')
    with pytest.raises(config.ConfigError, match=r"toml:1: agree: needs the table fleet.* turn \[fleet\] on"):
        config.load({"LB_SCGI": str(tmp_path / "op.toml"), "LB_CONFIG": _platform(tmp_path)}, tmp_path)


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("[trace]\nenabled = true", "trace: folder: the path of a folder is needed"),
        ('[trace]\nenabled = true\nfolder = "t"\nsample = 2', "trace: sample: 2 is a part, and above 1"),
        ('[trace]\nfolders = "t"', "trace: folders: unknown key"),
        ("trace = 3", "trace: not a table"),
        ('[trace]\nenabled = true\nfolder = "t"\nkey_file = "none"', "trace: key_file: none: No such file"),
        ('[trace]\nenabled = true\nfolder = "t"\nkey_file = "op.toml"\nflush_s = 0', "flush_s: 0 is not"),
    ],
)
def test_a_fault_in_the_trace_settings_is_named(tmp_path: Path, text: str, words: str) -> None:
    (tmp_path / "op.toml").write_text(text)
    with pytest.raises(config.ConfigError) as caught:
        config.load({"LB_SCGI": str(tmp_path / "op.toml"), "LB_CONFIG": _platform(tmp_path)}, tmp_path)
    assert words in str(caught.value)


def _platform(tmp_path: Path) -> str:
    path = tmp_path / "config.json"
    path.write_text(
        ujson.dumps({"name": "n", "listen": "127.0.0.1:0", "agent": "127.0.0.1:1", "settings": SETTINGS})
    )
    return str(path)


def test_relative_paths_start_at_the_working_folder_for_a_named_file_else_at_the_programs_folder(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An installed program once searched for its inventory in site-packages."""
    work, away = tmp_path / "work", tmp_path / "away"
    for folder in (work, away):
        folder.mkdir()
    (work / "inventory.yaml").write_text(SHIPPED.read_text())
    (away / "scgi.toml").write_text(
        'enabled = true\nlisten = "127.0.0.1:4000"\ninventory = "inventory.yaml"\nstate = "state"\n'
    )
    monkeypatch.chdir(work)
    loaded = config.load({"LB_SCGI": "../away/scgi.toml"})
    assert loaded.scgi is not None and loaded.scgi.path == work / "inventory.yaml"
    assert loaded.scgi.state == work / "state"
    monkeypatch.chdir(away)
    with pytest.raises(config.ConfigError, match=f"relative paths are taken from {away}"):
        config.load({"LB_SCGI": "scgi.toml"})
    # Without LB_SCGI, paths start at the program's folder, whatever the working folder is.
    assert base({}) == base({"LB_SCGI": ""}) == str(SHIPPED.parent.parent) != str(Path.cwd())
