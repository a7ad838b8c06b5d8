"""Generates the C++ types in src/schema from schema/schema.json and schema/templates.

Usage: generate.py [--check]
--check writes nothing and fails if a committed file differs from its generated text.
"""
import json
import pathlib
import subprocess
import sys

import jinja2

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCALARS = {"u32": "std::uint32_t", "port": "std::uint32_t", "number": "double", "u64": "std::uint64_t", "i64": "std::int64_t",
           "bool": "bool", "string": "std::string"}
# Fields that travel behind the serialized message, see transport/frame.hpp.
PAYLOADS = {"payload": "std::string", "shared_payload": "base::shared_text"}


def cpp_type(name):
    if name.startswith("list<"):
        return f"std::vector<{cpp_type(name[5:-1])}>"
    return {**SCALARS, **PAYLOADS}.get(name, name)


# C++ expression that initialises the member; empty for default initialisation.
def initial_value(field, enums):
    kind, options = field["type"], field["options"]
    default = options.get("default")
    if kind == "string":
        return json.dumps(default) if default else ""
    if kind.startswith("list<") or kind in PAYLOADS:
        return ""
    if kind == "bool":
        return "true" if default else "false"
    if kind in enums:
        return f"{kind}::{default or enums[kind]['values'][0]}"
    if kind in SCALARS:
        return str(default or 0)
    return ""


# Fields as the templates need them. A row of the schema is [name, type, doc, options].
def template_fields(rows, enums):
    result_fields = []
    for row in rows:
        field = {"name": row[0], "type": row[1], "doc": row[2],
                 "options": row[3] if len(row) > 3 else {}}
        field["cpp"] = cpp_type(field["type"])
        field["is_payload"] = field["type"] in PAYLOADS
        field["initial"] = initial_value(field, enums)
        result_fields.append(field)
    return result_fields


def template_model():
    schema = json.loads((ROOT / "schema/schema.json").read_text())
    enums = schema["enums"]
    result = {"enums": enums, "scalars": SCALARS, "messages": {}, "documents": {}, "settings": {}}
    for group in ("messages", "documents"):
        for name, entry in schema[group].items():
            result[group][name] = {"doc": entry["doc"],
                                   "fields": template_fields(entry["fields"], enums)}
    for name, entry in schema["settings"].items():
        sections = {s: template_fields(rows, enums) for s, rows in entry["sections"].items()}
        result["settings"][name] = {"doc": entry["doc"], "sections": sections}
    return result


def main():
    check = "--check" in sys.argv[1:]
    loader = jinja2.FileSystemLoader(str(ROOT / "schema/templates"))
    environment = jinja2.Environment(loader=loader, trim_blocks=True, lstrip_blocks=True,
                                     undefined=jinja2.StrictUndefined)
    outdated = []
    for template in sorted((ROOT / "schema/templates").glob("*.j2")):
        text = environment.get_template(template.name).render(template_model())
        text = subprocess.run(["clang-format", "--assume-filename=" + template.stem],
                              input=text, capture_output=True, text=True, check=True,
                              cwd=ROOT).stdout
        target = ROOT / "src/schema" / template.stem
        if check:
            if not target.exists() or target.read_text() != text:
                outdated.append(str(target.relative_to(ROOT)))
        else:
            target.write_text(text)
    if outdated:
        sys.exit("generated files are not up to date with schema/: " + ", ".join(outdated))


main()
