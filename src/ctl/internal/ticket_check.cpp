#include "ctl/ticket_check.hpp"

#include "decisions/document_store.hpp"

#include <fstream>
#include <sstream>

namespace bilberrytally::ctl
{
namespace
{
//! Row of a service in the body of /v1/tickets; null if there is none.
const nlohmann::json*
find_service(const nlohmann::json& in_force, const std::string& name)
{
    for (const auto& row : in_force)
    {
        if (row.value("service", "") == name)
        {
            return &row;
        }
    }
    return nullptr;
}

//! Appends a line for each field that differs from the policy in force.
void compare_policy(
    const schema::service_policy& policy, const nlohmann::json& row,
    std::vector<std::string>& lines)
{
    const auto& current = row.at("policy");
    const auto wanted = schema::to_json(policy);
    for (const auto& [key, value] : wanted.items())
    {
        if (current.value(key, nlohmann::json()) != value)
        {
            lines.push_back(
                policy.name + "." + key + ": " +
                current.value(key, nlohmann::json()).dump() + " -> " +
                value.dump());
        }
    }
}
} // namespace

base::result<schema::ticket> read_ticket(const std::string& file)
{
    std::ifstream stream(file);
    if (!stream)
    {
        return base::fail(file, "cannot read the file");
    }
    std::ostringstream text;
    text << stream.rdbuf();
    BOOST_LEAF_AUTO(document, decisions::document::parse(text.str()));
    if (!std::holds_alternative<schema::ticket>(document.content))
    {
        return base::fail(file, "expected a ticket, not an instance list");
    }
    return std::get<schema::ticket>(document.content);
}

std::vector<std::string>
describe_changes(const schema::ticket& ticket, const nlohmann::json& in_force)
{
    std::vector<std::string> lines;
    for (const auto& policy : ticket.services)
    {
        const auto* row = find_service(in_force, policy.name);
        if (row == nullptr)
        {
            lines.push_back(policy.name + ": new service");
            continue;
        }
        const auto number = row->at("number").get<std::uint64_t>();
        if (number >= ticket.number)
        {
            lines.push_back(
                policy.name + ": no effect, ticket " + std::to_string(number) +
                " is in force");
            continue;
        }
        compare_policy(policy, *row, lines);
    }
    return lines;
}
} // namespace bilberrytally::ctl
