#include "node/internal/target_side.hpp"

#include <algorithm>

// The part of target_side that links nested calls to the calls that cause them.
namespace bilberrytally::node
{
namespace
{
//! Bound of the time left that another node may state for a call, in ms.
constexpr std::int64_t max_stated_time_ms = 3600000;

//! The id of the parent request in the id of a nested call; nothing if the id
//! names none.
std::optional<std::string>
parent_request(std::string_view request_id, char separator)
{
    const auto end = request_id.rfind(separator);
    if (separator == 0 || end == std::string_view::npos)
    {
        return std::nullopt;
    }
    return std::string(request_id.substr(0, end));
}

parent_context
to_parent(const decisions::call_context& context, std::uint64_t inbound_id)
{
    return {context.root,  context.depth, context.priority, context.deadline, 0,
            context.rerun, true,          inbound_id,       context.workspace};
}
} // namespace

decisions::call_context
context_of(const schema::call& call, base::time_ms deadline)
{
    return {
        call.root,  call.depth,     call.priority, deadline,
        call.rerun, call.workspace, call.key_id,   call.configuration_version};
}

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
    const auto parent =
        parent_request(request_id, this->tables.platform_headers->id_separator);
    if (!parent)
    {
        return std::nullopt;
    }
    return this->inbound.with(
        [&](inbound_table& table) -> std::optional<parent_context>
        {
            const auto found = table.by_request.find(*parent);
            if (found == table.by_request.end())
            {
                const auto ended = table.ended.find(*parent, base::now());
                const bool valid =
                    ended && !this->is_key_revoked(
                                 ended->key_id, ended->configuration_version);
                return valid ? std::optional(to_parent(*ended, 0))
                             : std::nullopt;
            }
            auto& call = table.calls.at(found->second);
            call.has_nested_calls = true;
            return to_parent(
                context_of(call.message, call.deadline), found->second);
        });
}

bool target_side::parent_may_exist(std::string_view request_id)
{
    const auto parent =
        parent_request(request_id, this->tables.platform_headers->id_separator);
    if (!parent)
    {
        return false;
    }
    const auto now = base::now();
    const auto unknown_time = decisions::unknown_parent_time(
        {this->tables.longest_timeout_ms.load()});
    return now < this->tables.started + unknown_time ||
           this->inbound.with([&](inbound_table& table)
                              { return table.ended.may_lack(now); });
}

void target_side::keep_context(
    inbound_table& table, const inbound_call& call,
    const schema::answer& answer) const
{
    const auto not_run = static_cast<std::uint32_t>(base::verdict::not_run);
    if (!this->tables.links_nested_calls() || answer.verdict == not_run)
    {
        return;
    }
    const auto context = context_of(call.message, call.deadline);
    const auto request = this->request_id(call.message);
    if (answer.reason != schema::refusal::none)
    {
        table.ended.keep_unanswered(request, context, base::now());
    }
    else if (this->tables.parent_ids_seen)
    {
        // Most backend servers make no nested calls at all.
        table.ended.keep_answered(request, context, base::now());
    }
}

void target_side::on_unanswered_calls(
    const schema::unanswered_calls& message, base::duration_ms delay)
{
    const auto now = base::now();
    this->inbound.with(
        [&](inbound_table& table)
        {
            for (const auto& call : message.calls)
            {
                if (call.service != this->tables.settings.node.service)
                {
                    continue;
                }
                const base::duration_ms remaining{std::clamp<std::int64_t>(
                    call.remaining_ms, 0, max_stated_time_ms)};
                table.ended.keep_unanswered(
                    call.request,
                    {call.root, call.depth, call.priority,
                     now + remaining - delay, call.rerun, call.workspace,
                     call.key_id, call.configuration_version},
                    now);
            }
        });
    this->tables.record_event(
        {0, "unanswered_calls", 0, 0, "",
         "received=" + std::to_string(message.calls.size())});
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
