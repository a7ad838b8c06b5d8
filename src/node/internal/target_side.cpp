#include "node/internal/target_side.hpp"

#include "base/hash.hpp"
#include "node/internal/http_mapping.hpp"
#include "transport/message_codec.hpp"

#include <algorithm>

namespace bilberrytally::node
{
namespace
{
using schema::refusal;

constexpr std::size_t max_probe_run_queue = 256;
//! Long work is refused while held memory exceeds this fraction (1/n) of
//! caller.max_held_bytes.
constexpr std::uint64_t long_work_memory_divisor = 2;

//! Memory of a call beside its headers and body.
constexpr std::uint64_t call_bytes = 2U << 10U;

std::uint64_t memory_of(const schema::call& call)
{
    std::uint64_t bytes = call_bytes + call.path.size() + call.body.size();
    for (const auto& header : call.headers)
    {
        bytes += sizeof(header) + header.name.size() + header.value.size();
    }
    return bytes;
}

std::uint64_t route_key(const schema::call& call)
{
    const auto path = call.path.substr(0, call.path.find('?'));
    return base::hash_parts({call.method, path});
}
} // namespace

schema::answer make_refusal(base::verdict verdict, schema::refusal reason)
{
    schema::answer answer;
    answer.verdict = static_cast<std::uint32_t>(verdict);
    answer.reason = reason;
    return answer;
}

target_side::target_side(
    node_tables& tables, std::unique_ptr<http::http_client> client)
    : tables(tables), client(std::move(client)), monitor(tables, *this->client),
      inbound(tables.settings.node.slots, tables.variant)
{
    tables.memory.set_unfinished_responses(
        [this] { return this->client->held_bytes(); });
}

void target_side::set_network(
    transport::peer_network& network,
    std::function<void(std::uint64_t)> cancel_nested_calls)
{
    this->network = &network;
    this->cancel_nested_calls = std::move(cancel_nested_calls);
}

void target_side::on_call(received_call received)
{
    const auto now = base::now();
    inbound_call new_call;
    new_call.link = received.link;
    new_call.deadline =
        now + base::duration_ms{received.message.remaining_ms} - received.delay;
    new_call.message = std::move(received.message);
    new_call.arrived = now;
    new_call.transit = received.delay;
    new_call.held = received.held ? std::move(received.held)
                                  : this->tables.memory.reserve(
                                        decisions::memory_use::calls,
                                        memory_of(new_call.message));
    if (!new_call.held)
    {
        this->tables.record_event(
            {0, "refuse", new_call.message.root, 0, new_call.message.service,
             "reason=memory"});
        this->send_answer(
            new_call, make_refusal(base::verdict::not_run, refusal::memory));
        return;
    }
    this->admit(this->add(std::move(new_call)));
}

std::uint64_t target_side::offer_local(
    schema::call call, base::time_ms deadline, answer_handler reply)
{
    inbound_call new_call;
    new_call.message = std::move(call);
    new_call.deadline = deadline;
    new_call.arrived = base::now();
    new_call.reply = std::move(reply);
    const auto id = this->add(std::move(new_call));
    this->admit(id);
    return id;
}

std::uint64_t target_side::add(inbound_call new_call)
{
    new_call.budget = decisions::request_retry_budget(new_call.message.budget);
    const auto id = base::random_bits();
    this->inbound.with(
        [&](inbound_table& table)
        {
            if (new_call.link != 0)
            {
                table.by_caller_call_id.emplace(
                    std::pair(new_call.link, new_call.message.id), id);
            }
            if (this->tables.platform_headers)
            {
                table.by_request.emplace(
                    this->request_id(new_call.message), id);
            }
            table.calls.emplace(id, std::move(new_call));
        });
    return id;
}

std::string target_side::request_id(const schema::call& call) const
{
    return std::string(http::find_header(
        call.headers, this->tables.platform_headers->attempt_id));
}

std::optional<schema::refusal>
target_side::refusal_before_admission(const inbound_call& call) const
{
    if (this->is_draining(call.message))
    {
        return refusal::draining;
    }
    if (!this->monitor.is_up())
    {
        return refusal::backend_down;
    }
    if (call.message.service != this->tables.settings.node.service)
    {
        return refusal::no_target;
    }
    const auto held_bytes = this->client->held_bytes();
    const auto max_held_bytes = this->tables.settings.caller.max_held_bytes;
    if (call.message.long_work &&
        held_bytes > max_held_bytes / long_work_memory_divisor)
    {
        return refusal::memory;
    }
    return std::nullopt;
}

std::optional<base::time_ms>
target_side::leaving_since(const schema::call& call) const
{
    const auto& instance = call.expected_instance.empty()
                               ? this->tables.settings.node.instance
                               : call.expected_instance;
    std::optional<base::time_ms> since;
    this->tables.with_targets(
        call.service, [&](auto& targets, routing_table&)
        { since = targets.listed_leaving_since(instance); });
    return since;
}

bool target_side::is_draining(const schema::call& call) const
{
    bool draining = this->tables.draining || this->monitor.is_draining() ||
                    this->leaving_since(call);
    this->tables.with_targets(
        call.service, [&](auto& targets, routing_table&)
        { draining |= targets.has_stated_leaving(call.expected_instance); });
    return draining;
}

schema::refusal target_side::check_quarantine(
    inbound_table& table, std::uint64_t id, base::time_ms now)
{
    auto& call = table.calls.at(id);
    for (const auto& crash_id : call.message.struck_by)
    {
        table.quarantine.record_crash(call.message.digest, crash_id, now);
    }
    if (!table.quarantine.has_crash_report(call.message.digest, now))
    {
        return refusal::none;
    }
    const auto excluded =
        table.quarantine.crashed_instances(call.message.digest);
    std::optional<decisions::target_address> owner;
    this->tables.with_targets(
        call.message.service, [&](auto& targets, routing_table&)
        { owner = targets.probe_target(call.message.digest, excluded); });
    const auto decision = table.quarantine.check(
        call.message.digest, owner && this->tables.is_local(*owner), now);
    switch (decision)
    {
    case decisions::quarantine_decision::pass:
        return refusal::none;
    case decisions::quarantine_decision::probe_run:
        call.is_probe_run = true;
        return refusal::none;
    case decisions::quarantine_decision::wait:
        if (table.probe_run_queue.size() >= max_probe_run_queue)
        {
            return refusal::suspected;
        }
        call.state = call_state::on_hold;
        table.probe_run_queue.push_back(id);
        return refusal::none;
    case decisions::quarantine_decision::elsewhere:
        return refusal::suspected;
    case decisions::quarantine_decision::refuse:
        return refusal::quarantined;
    }
    return refusal::suspected;
}

void target_side::admit(std::uint64_t id)
{
    const auto now = base::now();
    auto reason = refusal::none;
    decisions::admission_actions actions;
    this->inbound.with(
        [&](inbound_table& table)
        {
            const auto found = table.calls.find(id);
            if (found == table.calls.end())
            {
                return;
            }
            auto& call = found->second;
            reason =
                this->refusal_before_admission(call).value_or(refusal::none);
            if (reason == refusal::none)
            {
                reason = this->check_quarantine(table, id, now);
            }
            if (reason != refusal::none || call.state == call_state::on_hold)
            {
                return;
            }
            const auto& message = call.message;
            // Callers that do not place by cost state no kind; all their calls
            // then count as one kind.
            if (this->tables.settings.placement.by_cost)
            {
                call.work = table.outstanding.on_wait(message.cost_kind);
            }
            actions = table.admission.offer(
                // The root id is hashed with a constant as the second part.
                {id, this->tables.shed_class(message), message.depth,
                 base::combine(message.root, 0), call.deadline,
                 message.long_work, route_key(message)},
                now);
        });
    if (reason != refusal::none)
    {
        this->refuse(id, reason);
    }
    this->apply(actions);
}

void target_side::apply(const decisions::admission_actions& actions)
{
    for (const auto& refused : actions.refuse)
    {
        this->refuse(
            refused.id, refused.reason,
            " priority=" + std::to_string(refused.priority) +
                " worst_waiting=" + std::to_string(refused.worst_waiting));
    }
    for (const auto id : actions.start)
    {
        this->start(id);
    }
}

std::optional<target_side::removed_call>
target_side::remove(inbound_table& table, std::uint64_t id) const
{
    const auto found = table.calls.find(id);
    if (found == table.calls.end())
    {
        return std::nullopt;
    }
    removed_call removed{std::move(found->second), {}};
    table.calls.erase(found);
    table.outstanding.on_wait_end(removed.call.work);
    table.outstanding.on_end(id);
    table.by_caller_call_id.erase({removed.call.link, removed.call.message.id});
    if (this->tables.platform_headers)
    {
        auto [first, last] = table.by_request.equal_range(
            this->request_id(removed.call.message));
        while (first != last && first->second != id)
        {
            ++first;
        }
        if (first != last)
        {
            table.by_request.erase(first);
        }
    }
    if (!removed.call.is_probe_run)
    {
        return removed;
    }
    table.quarantine.end_probe_run(removed.call.message.digest);
    for (const auto waiting_id : table.probe_run_queue)
    {
        const auto waiting_call = table.calls.find(waiting_id);
        if (waiting_call != table.calls.end())
        {
            waiting_call->second.state = call_state::waiting;
            removed.released.push_back(waiting_id);
        }
    }
    table.probe_run_queue.clear();
    return removed;
}

void target_side::on_cancel(
    transport::link_id link, const schema::cancel& cancel)
{
    const auto id = this->inbound.with(
        [&](inbound_table& table) -> std::optional<std::uint64_t>
        {
            const auto found = table.by_caller_call_id.find({link, cancel.id});
            return found == table.by_caller_call_id.end()
                       ? std::nullopt
                       : std::optional(found->second);
        });
    if (id && cancel.only_waiting)
    {
        this->recall(*id);
    }
    else if (id)
    {
        this->cancel(*id);
    }
    else if (!cancel.only_waiting)
    {
        this->network->withdraw(link, transport::frame_kind::answer, cancel.id);
    }
}

void target_side::recall(std::uint64_t id)
{
    const bool waited = this->inbound.with(
        [&](inbound_table& table)
        {
            const auto found = table.calls.find(id);
            return found != table.calls.end() &&
                   stop_waiting(table, id, found->second);
        });
    if (waited)
    {
        this->refuse(id, refusal::cancelled);
    }
}

bool target_side::stop_waiting(
    inbound_table& table, std::uint64_t id, const inbound_call& call)
{
    return call.state == call_state::on_hold ||
           (call.state == call_state::waiting &&
            table.admission.cancel_waiting(id));
}

void target_side::cancel(std::uint64_t id)
{
    std::uint64_t transfer_id = 0;
    bool waiting = false;
    this->inbound.with(
        [&](inbound_table& table)
        {
            const auto found = table.calls.find(id);
            if (found == table.calls.end())
            {
                return;
            }
            transfer_id = found->second.transfer_id;
            waiting = stop_waiting(table, id, found->second);
        });
    if (waiting)
    {
        this->refuse(id, refusal::cancelled);
    }
    else if (
        transfer_id != 0 && decisions::is_full_policy(this->tables.variant))
    {
        this->client->cancel(transfer_id);
    }
}

void target_side::on_link_down(transport::link_id link)
{
    std::vector<std::uint64_t> orphans;
    this->inbound.with(
        [&](inbound_table& table)
        {
            table.last_load_report.erase(link);
            for (auto& [id, call] : table.calls)
            {
                // Running work that is not repeatable is left to complete.
                const bool cancellable = call.state != call_state::running ||
                                         call.message.repeatable;
                if (call.link == link && cancellable)
                {
                    orphans.push_back(id);
                }
            }
        });
    for (const auto id : orphans)
    {
        this->cancel(id);
    }
}

void target_side::on_policy(const schema::service_policy& policy)
{
    this->client->set_connections_per_host(policy.connections);
    this->inbound.with(
        [&](inbound_table& table)
        {
            table.admission.apply(policy);
            table.shed_status = policy.shed_status;
        });
}

void target_side::tick(base::time_ms now)
{
    this->monitor.tick(now);
    this->query_crash_reports(now);
    std::vector<std::uint64_t> expired;
    const auto actions = this->inbound.with(
        [&](inbound_table& table)
        {
            for (const auto id : table.probe_run_queue)
            {
                const auto found = table.calls.find(id);
                if (found != table.calls.end() && found->second.deadline <= now)
                {
                    expired.push_back(id);
                }
            }
            return table.admission.advance(now);
        });
    this->apply(actions);
    for (const auto id : expired)
    {
        this->refuse(id, refusal::deadline);
    }
}
} // namespace bilberrytally::node
