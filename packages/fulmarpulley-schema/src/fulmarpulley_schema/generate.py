"""Generate the msgspec structs from the JSON Schema files."""

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

PACKAGE = Path(__file__).parent
SOURCES = PACKAGE / "sources"
GENERATED = PACKAGE / "generated"
OPTIONS = (
    "--input-file-type=jsonschema",
    "--output-model-type=msgspec.Struct",
    "--formatters=builtin",
    "--disable-timestamp",
    "--target-python-version=3.11",
    "--use-schema-description",
    "--use-field-description",
    "--use-standard-collections",
    "--use-union-operator",
    "--use-annotated",
    "--enum-field-as-literal=none",
    "--capitalise-enum-members",
    "--set-default-enum-member",
    "--use-default",
    "--keyword-only",
    "--use-double-quotes",
)


def main() -> None:
    """Write one module per JSON Schema file."""
    GENERATED.mkdir(exist_ok=True)
    init = GENERATED / "__init__.py"
    init.write_text('"""Define the structs generated from the JSON Schema files."""\n')
    outputs = [init]
    for source in sorted(SOURCES.glob("*.schema.json")):
        outputs.append(_generate(source))
    names = [str(path) for path in outputs]
    _run_ruff("check", "--fix", "--select=I,UP,D", "--ignore=D100,D203,D213", *names)
    _run_ruff("format", *names)


def _generate(source: Path) -> Path:
    name = source.name.removesuffix(".schema.json")
    schema = json.loads(source.read_text())
    _mark_all_fields_required(schema)
    output = GENERATED / f"{name}.py"
    with tempfile.TemporaryDirectory() as directory:
        prepared = Path(directory) / source.name
        prepared.write_text(json.dumps(schema))
        command = [
            sys.executable,
            "-m",
            "datamodel_code_generator",
            f"--input={prepared}",
            f"--output={output}",
            *OPTIONS,
        ]
        subprocess.run(command, check=True)
    body = output.read_text()
    output.write_text(f'"""Define the structs of {name}.schema.json."""\n\n{body}')
    return output


def _mark_all_fields_required(node: Any) -> None:
    # The generator types an optional field as `T | UnsetType`. Marking the field as
    # required keeps the plain type, and --use-default keeps its default.
    if isinstance(node, list):
        for item in node:
            _mark_all_fields_required(item)
    elif isinstance(node, dict):
        if isinstance(node.get("properties"), dict):
            node["required"] = list(node["properties"])
        for item in node.values():
            _mark_all_fields_required(item)


def _run_ruff(*arguments: str) -> None:
    subprocess.run([sys.executable, "-m", "ruff", *arguments], check=False)


if __name__ == "__main__":
    main()
