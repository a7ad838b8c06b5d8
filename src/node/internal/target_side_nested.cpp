#include "node/internal/target_side.hpp"

// The part of target_side that links nested calls to the calls that cause them.
namespace bilberrytally::node
{
std::optional<parent_context>
target_side::take_context(std::uint64_t inbound_id)
{
    return this->inbound.with(
        [&](inbound_table& table) -> std::optional<parent_context>
        {
            const auto found = table.calls.find(inbound_id);
            if (found == table.calls.end())
            {
                return std::nullopt;
            }
            auto& call = found->second;
            call.has_nested_calls = true;
            const bool within_budget =
                !call.message.rerun || call.budget.spend();
            return parent_context{
                call.message.root,
                call.message.depth,
                call.message.priority,
                call.deadline,
                call.budget.take_for_nested_call(),
                call.message.rerun,
                within_budget,
                inbound_id,
                call.message.workspace};
        });
}

std::optional<parent_context>
target_side::find_context(std::string_view request_id)
{
    const auto end =
        request_id.rfind(this->tables.platform_headers->id_separator);
    if (end == std::string_view::npos)
    {
        return std::nullopt;
    }
    const std::string parent(request_id.substr(0, end));
    return this->inbound.with(
        [&](inbound_table& table) -> std::optional<parent_context>
        {
            const auto found = table.by_request.find(parent);
            if (found == table.by_request.end())
            {
                return std::nullopt;
            }
            auto& call = table.calls.at(found->second);
            call.has_nested_calls = true;
            return parent_context{
                call.message.root,
                call.message.depth,
                call.message.priority,
                call.deadline,
                0,
                call.message.rerun,
                true,
                found->second,
                call.message.workspace};
        });
}

void target_side::record_nested_failure(std::uint64_t inbound_id)
{
    this->inbound.with(
        [&](inbound_table& table)
        {
            const auto found = table.calls.find(inbound_id);
            if (found != table.calls.end())
            {
                found->second.nested_call_failed = true;
            }
        });
}

void target_side::return_budget(
    std::uint64_t inbound_id, std::uint32_t budget, std::uint32_t dispatches)
{
    this->inbound.with(
        [&](inbound_table& table)
        {
            const auto found = table.calls.find(inbound_id);
            if (found != table.calls.end())
            {
                found->second.budget.return_unspent(budget);
                found->second.nested_dispatches += dispatches;
            }
        });
}
} // namespace bilberrytally::node
