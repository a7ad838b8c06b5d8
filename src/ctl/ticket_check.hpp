#pragma once

#include "base/error.hpp"
#include "schema/documents.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace bilberrytally::ctl
{
//! Reads and validates a ticket file; errors name file and place.
base::result<schema::ticket> read_ticket(const std::string& file);

//! What a ticket would change against the tickets in force, one line each.
//! \p in_force is the body of /v1/tickets.
std::vector<std::string>
describe_changes(const schema::ticket& ticket, const nlohmann::json& in_force);
} // namespace bilberrytally::ctl
