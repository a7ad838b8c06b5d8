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

constexpr base::duration_ms load_interval{200};
constexpr std::size_t max_trial_queue = 256;
//! Long work is refused while less than this share of the memory is free.
constexpr std::uint64_t held_share = 2;

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
      serving(tables.settings.node.slots, tables.variant)
{
}

void target_side::attach(
    transport::peer_network& network,
    std::function<void(std::uint64_t)> cancel_children)
{
    this->network = &network;
    this->cancel_children = std::move(cancel_children);
}

void target_side::on_call(
    transport::link_id link, schema::call call, base::duration_ms delay)
{
    const auto now = base::now();
    serving_call fresh;
    fresh.link = link;
    fresh.deadline = now + base::duration_ms{call.remaining_ms} - delay;
    fresh.call = std::move(call);
    fresh.arrived = now;
    this->admit(this->add(std::move(fresh)));
}

std::uint64_t target_side::offer_local(
    const schema::call& call, base::time_ms deadline, answer_handler reply)
{
    serving_call fresh;
    fresh.call = call;
    fresh.deadline = deadline;
    fresh.arrived = base::now();
    fresh.reply = std::move(reply);
    const auto id = this->add(std::move(fresh));
    this->admit(id);
    return id;
}

std::uint64_t target_side::add(serving_call fresh)
{
    fresh.budget = decisions::retry_budget(fresh.call.budget);
    const auto id = base::random_bits();
    this->serving.with(
        [&](serving_table& table)
        {
            if (fresh.link != 0)
            {
                table.by_remote.emplace(
                    std::pair(fresh.link, fresh.call.id), id);
            }
            if (this->tables.names)
            {
                table.by_request[this->request_id(fresh.call)] = id;
            }
            table.calls.emplace(id, std::move(fresh));
        });
    return id;
}

std::string target_side::request_id(const schema::call& call) const
{
    return std::string(
        http::find_header(call.headers, this->tables.names->request_id));
}

std::optional<schema::refusal>
target_side::refusal_before_admission(const serving_call& call) const
{
    if (this->tables.draining || this->monitor.is_draining())
    {
        return refusal::draining;
    }
    if (!this->monitor.is_up())
    {
        return refusal::backend_down;
    }
    if (call.call.service != this->tables.settings.node.service)
    {
        return refusal::no_target;
    }
    const auto held = this->client->held_bytes();
    const auto bound = this->tables.settings.caller.max_held_bytes;
    if (call.call.long_work && held > bound / held_share)
    {
        return refusal::memory;
    }
    return std::nullopt;
}

schema::refusal target_side::check_quarantine(
    serving_table& table, std::uint64_t id, base::time_ms now)
{
    auto& call = table.calls.at(id);
    for (const auto& death : call.call.struck_by)
    {
        table.quarantine.strike(call.call.digest, death, now);
    }
    if (!table.quarantine.is_struck(call.call.digest, now))
    {
        return refusal::none;
    }
    const auto excluded = table.quarantine.struck_instances(call.call.digest);
    std::optional<decisions::target_address> owner;
    this->tables.with_targets(
        call.call.service, [&](auto& targets, routing_table&)
        { owner = targets.owner(call.call.digest, excluded); });
    const auto decision = table.quarantine.check(
        call.call.digest, this->tables.settings.node.instance,
        owner ? owner->instance : "", now);
    switch (decision)
    {
    case decisions::quarantine_decision::pass:
        return refusal::none;
    case decisions::quarantine_decision::trial:
        call.trial = true;
        return refusal::none;
    case decisions::quarantine_decision::wait:
        if (table.trial_queue.size() >= max_trial_queue)
        {
            return refusal::suspected;
        }
        call.state = phase::on_hold;
        table.trial_queue.push_back(id);
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
    this->serving.with(
        [&](serving_table& table)
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
            if (reason != refusal::none || call.state == phase::on_hold)
            {
                return;
            }
            const auto& content = call.call;
            actions = table.admission.offer(
                {id, this->tables.shed_class(content), content.depth,
                 base::combine(content.root, 0), call.deadline,
                 content.long_work, route_key(content)},
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
target_side::remove(serving_table& table, std::uint64_t id) const
{
    const auto found = table.calls.find(id);
    if (found == table.calls.end())
    {
        return std::nullopt;
    }
    removed_call removed{std::move(found->second), {}};
    table.calls.erase(found);
    table.by_remote.erase({removed.call.link, removed.call.call.id});
    if (this->tables.names)
    {
        const auto named =
            table.by_request.find(this->request_id(removed.call.call));
        if (named != table.by_request.end() && named->second == id)
        {
            table.by_request.erase(named);
        }
    }
    if (!removed.call.trial)
    {
        return removed;
    }
    table.quarantine.end_trial(removed.call.call.digest);
    for (const auto waiting : table.trial_queue)
    {
        const auto held = table.calls.find(waiting);
        if (held != table.calls.end())
        {
            held->second.state = phase::waiting;
            removed.released.push_back(waiting);
        }
    }
    table.trial_queue.clear();
    return removed;
}

void target_side::refuse(
    std::uint64_t id, schema::refusal reason, const std::string& detail)
{
    auto removed = this->serving.with([&](serving_table& table)
                                      { return this->remove(table, id); });
    if (!removed)
    {
        return;
    }
    auto& ended = removed->call;
    this->tables.note(
        {0, "refuse", ended.call.root, id, ended.call.service,
         "reason=" + std::string(schema::to_string(reason)) + detail});
    this->send_answer(ended, make_refusal(base::verdict::not_run, reason));
    for (const auto waiting : removed->released)
    {
        this->admit(waiting);
    }
}

void target_side::send_answer(serving_call& call, schema::answer answer)
{
    answer.id = call.call.id;
    answer.digest = call.call.digest;
    answer.unspent = call.budget.left();
    answer.descendants = call.descendants;
    if (call.reply)
    {
        call.reply(std::move(answer));
        return;
    }
    const auto now = base::now();
    this->serving.with(
        [&](serving_table& table)
        {
            auto& last = table.last_load[call.link];
            if (now - last < load_interval && !this->tables.draining)
            {
                return;
            }
            last = now;
            answer.load = table.admission.report(now);
            answer.load.draining =
                this->tables.draining || this->monitor.is_draining();
        });
    this->network->send(
        call.link, transport::frame_kind::answer, transport::encode(answer), 0);
}

void target_side::on_cancel(transport::link_id link, std::uint64_t remote_call)
{
    const auto id = this->serving.with(
        [&](serving_table& table) -> std::optional<std::uint64_t>
        {
            const auto found = table.by_remote.find({link, remote_call});
            return found == table.by_remote.end()
                       ? std::nullopt
                       : std::optional(found->second);
        });
    if (id)
    {
        this->cancel(*id);
    }
}

void target_side::cancel(std::uint64_t id)
{
    std::uint64_t transfer = 0;
    bool waiting = false;
    this->serving.with(
        [&](serving_table& table)
        {
            const auto found = table.calls.find(id);
            if (found == table.calls.end())
            {
                return;
            }
            transfer = found->second.transfer;
            waiting = found->second.state == phase::on_hold ||
                      (found->second.state == phase::waiting &&
                       table.admission.cancel_waiting(id));
        });
    if (waiting)
    {
        this->refuse(id, refusal::cancelled);
    }
    else if (transfer != 0 && decisions::is_full(this->tables.variant))
    {
        this->client->cancel(transfer);
    }
}

void target_side::on_link_down(transport::link_id link)
{
    std::vector<std::uint64_t> orphans;
    this->serving.with(
        [&](serving_table& table)
        {
            table.last_load.erase(link);
            for (auto& [id, call] : table.calls)
            {
                //! Non-repeatable work in progress is left to complete.
                const bool stop =
                    call.state != phase::running || call.call.repeatable;
                if (call.link == link && stop)
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

std::optional<parent_context> target_side::take_context(std::uint64_t serving)
{
    return this->serving.with(
        [&](serving_table& table) -> std::optional<parent_context>
        {
            const auto found = table.calls.find(serving);
            if (found == table.calls.end())
            {
                return std::nullopt;
            }
            auto& call = found->second;
            const bool affordable = !call.call.rerun || call.budget.spend();
            return parent_context{
                call.call.root,
                call.call.depth,
                call.call.priority,
                call.deadline,
                call.budget.take_for_child(),
                call.call.rerun,
                affordable,
                serving};
        });
}

std::optional<parent_context>
target_side::find_context(std::string_view request_id)
{
    const auto end = request_id.rfind(this->tables.names->id_separator);
    if (end == std::string_view::npos)
    {
        return std::nullopt;
    }
    const std::string parent(request_id.substr(0, end));
    return this->serving.with(
        [&](serving_table& table) -> std::optional<parent_context>
        {
            const auto found = table.by_request.find(parent);
            if (found == table.by_request.end())
            {
                return std::nullopt;
            }
            const auto& call = table.calls.at(found->second);
            return parent_context{
                call.call.root,
                call.call.depth,
                call.call.priority,
                call.deadline,
                0,
                call.call.rerun,
                true,
                found->second};
        });
}

void target_side::note_child_failure(std::uint64_t serving)
{
    this->serving.with(
        [&](serving_table& table)
        {
            const auto found = table.calls.find(serving);
            if (found != table.calls.end())
            {
                found->second.child_failed = true;
            }
        });
}

void target_side::give_back(
    std::uint64_t serving, std::uint32_t budget, std::uint32_t dispatches)
{
    this->serving.with(
        [&](serving_table& table)
        {
            const auto found = table.calls.find(serving);
            if (found != table.calls.end())
            {
                found->second.budget.give_back(budget);
                found->second.descendants += dispatches;
            }
        });
}

void target_side::on_policy(const schema::service_policy& policy)
{
    this->client->set_connections_per_host(policy.connections);
    this->serving.with(
        [&](serving_table& table)
        {
            table.admission.apply(policy);
            table.shed_status = policy.shed_status;
        });
}

void target_side::tick(base::time_ms now)
{
    this->monitor.tick(now);
    std::vector<std::uint64_t> late;
    const auto actions = this->serving.with(
        [&](serving_table& table)
        {
            for (const auto id : table.trial_queue)
            {
                const auto found = table.calls.find(id);
                if (found != table.calls.end() && found->second.deadline <= now)
                {
                    late.push_back(id);
                }
            }
            return table.admission.expire(now);
        });
    this->apply(actions);
    for (const auto id : late)
    {
        this->refuse(id, refusal::deadline);
    }
}

schema::load_report target_side::load(base::time_ms now)
{
    return this->serving.with([&](serving_table& table)
                              { return table.admission.report(now); });
}

std::size_t target_side::calls()
{
    return this->serving.with([](serving_table& table)
                              { return table.calls.size(); });
}

std::string_view target_side::to_string(phase state)
{
    switch (state)
    {
    case phase::waiting:
        return "waiting";
    case phase::on_hold:
        return "on_hold";
    case phase::running:
        return "running";
    case phase::probing:
        return "probing";
    }
    return "unknown";
}

std::vector<serving_view> target_side::view()
{
    const auto now = base::now();
    return this->serving.with(
        [&](serving_table& table)
        {
            std::vector<serving_view> rows;
            rows.reserve(table.calls.size());
            for (const auto& [id, call] : table.calls)
            {
                rows.push_back(
                    {id, call.call.root, call.call.path, to_string(call.state),
                     call.call.priority, call.call.depth, now - call.arrived});
            }
            return rows;
        });
}

std::vector<decisions::quarantine_view> target_side::quarantined()
{
    return this->serving.with([](serving_table& table)
                              { return table.quarantine.view(base::now()); });
}
} // namespace bilberrytally::node
