#include "node/internal/target_side.hpp"
#include "transport/message_codec.hpp"

#include <utility>
#include <vector>

// The part of target_side that refuses calls and sends answers.
namespace bilberrytally::node
{
namespace
{
using schema::refusal;

constexpr base::duration_ms load_report_interval{200};
//! Bodies up to this size are passed on whatever waits on the connections.
constexpr std::size_t small_body_bytes = 64U << 10U;
} // namespace

void target_side::refuse(
    std::uint64_t id, schema::refusal reason, const std::string& detail)
{
    auto removed = this->inbound.with([&](inbound_table& table)
                                      { return this->remove(table, id); });
    if (!removed)
    {
        return;
    }
    auto& ended = removed->call;
    this->tables.record_event(
        {0, "refuse", ended.message.root, id, ended.message.service,
         "reason=" + std::string(schema::to_string(reason)) + detail +
             this->describe_leaving(ended, base::now())});
    auto answer = make_refusal(base::verdict::not_run, reason);
    if (reason == refusal::suspected)
    {
        answer.body = this->crash_ids(ended.message.digest);
    }
    this->send_answer(ended, std::move(answer));
    for (const auto waiting_id : removed->released)
    {
        this->admit(waiting_id);
    }
}

void target_side::send_answer(inbound_call& call, schema::answer answer)
{
    answer.id = call.message.id;
    answer.digest = call.message.digest;
    answer.unspent = call.budget.left();
    answer.descendants = call.nested_dispatches;
    const auto now = base::now();
    if (call.reply)
    {
        if (this->tables.settings.placement.by_cost)
        {
            answer.load =
                this->inbound.with([&](inbound_table& table)
                                   { return this->report(table, call, now); });
        }
        call.reply(std::move(answer));
        return;
    }
    this->inbound.with([&](inbound_table& table)
                       { answer.load = this->report(table, call, now); });
    this->send_to_node(call.link, std::move(answer));
}

void target_side::send_to_node(transport::link_id link, schema::answer answer)
{
    using decisions::memory_use;
    auto& memory = this->tables.memory;
    const auto size = answer.body.size();
    auto held = size <= small_body_bytes
                    ? memory.hold(memory_use::responses, size)
                    : memory.reserve(memory_use::responses, size);
    if (!held)
    {
        // The callers' nodes read more slowly than responses come.
        this->replace_answer(link, std::move(answer));
        return;
    }
    base::shared_text body(std::move(answer.body));
    this->network->send(
        link, {transport::frame_kind::answer, transport::encode(answer),
               std::move(body), answer.id, std::move(held)});
}

void target_side::replace_answer(transport::link_id link, schema::answer answer)
{
    answer.verdict = static_cast<std::uint32_t>(base::verdict::may_have_run);
    answer.reason = refusal::memory;
    answer.body.clear();
    this->send_to_node(link, std::move(answer));
}

schema::load_report target_side::report(
    inbound_table& table, const inbound_call& call, base::time_ms now) const
{
    auto& last_report = table.last_load_report[call.link];
    if (now - last_report < load_report_interval && !this->tables.draining)
    {
        return {};
    }
    last_report = now;
    auto load = table.admission.report(now);
    load.input_delay_ms =
        static_cast<std::uint32_t>(this->tables.event_loop.frame_delay_ms());
    load.draining = this->is_draining(call.message);
    if (this->tables.settings.placement.by_cost)
    {
        load.work_left_ms = 1 + static_cast<std::uint32_t>(
                                    table.outstanding.left_ms(load.limit, now));
    }
    return load;
}

void target_side::refuse_waiting(base::time_ms latest_deadline)
{
    this->refuse_waiting_if([&](const inbound_call& call)
                            { return call.deadline > latest_deadline; });
}

void target_side::refuse_leaving()
{
    this->refuse_waiting_if(
        [&](const inbound_call& call)
        { return this->leaving_since(call.message).has_value(); });
}

template <class Predicate>
void target_side::refuse_waiting_if(Predicate&& is_refused)
{
    std::vector<std::uint64_t> refused;
    this->inbound.with(
        [&](inbound_table& table)
        {
            for (const auto& [id, call] : table.calls)
            {
                if (is_refused(call) && stop_waiting(table, id, call))
                {
                    refused.push_back(id);
                }
            }
        });
    for (const auto id : refused)
    {
        this->refuse(id, refusal::draining);
    }
}

std::string
target_side::describe_leaving(const inbound_call& call, base::time_ms now) const
{
    const auto since = this->leaving_since(call.message);
    if (!since)
    {
        return {};
    }
    return " target=" + call.message.expected_instance +
           " listed_leaving_ms=" + std::to_string((now - *since).count) +
           " waited_ms=" + std::to_string((now - call.arrived).count) +
           " transit_ms=" + std::to_string(call.transit.count) +
           " caller_revision=" +
           schema::to_string(call.message.directory_revision) + " revision=" +
           schema::to_string(this->tables.known_directory_revision());
}
} // namespace bilberrytally::node
