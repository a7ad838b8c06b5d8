#pragma once

#include "base/error.hpp"
#include "schema/documents.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace bilberrytally::ctl
{
//! Reads and validates a ticket file. Errors name the file or the path of the
//! invalid field.
base::result<schema::ticket> read_ticket(const std::string& file);

//! Describes what a ticket would change against the tickets in force, one line
//! per change. \p in_force is the body of a response to /v1/tickets.
std::vector<std::string>
describe_changes(const schema::ticket& ticket, const nlohmann::json& in_force);
} // namespace bilberrytally::ctl
