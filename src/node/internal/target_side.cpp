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
constexpr double ms_per_s = 1000;
constexpr base::duration_ms baseline_timeout{60000};
//! Long work is refused while less than this share of the memory is free.
constexpr std::uint64_t held_share = 2;

std::uint64_t route_key(const schema::call& call)
{
    const auto path = call.path.substr(0, call.path.find('?'));
    return base::hash_parts({call.method, path});
}

std::string death_name(const std::string& instance, std::uint64_t number)
{
    return instance + "#" + std::to_string(number);
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
            table.calls.emplace(id, std::move(fresh));
        });
    return id;
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
                {id,
                 std::min(content.priority, decisions::priority_classes - 1),
                 content.depth, base::combine(content.root, 0), call.deadline,
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

http::transfer_request target_side::make_transfer(
    std::uint64_t id, const serving_call& call, base::time_ms now) const
{
    const auto& backend = this->tables.settings.backend;
    const auto remaining = call.deadline - now;
    http::transfer_request transfer;
    transfer.content.method = call.call.method;
    transfer.content.target = call.call.path;
    transfer.content.headers = call.call.headers;
    transfer.content.body = call.call.body;
    auto& headers = transfer.content.headers;
    headers.push_back({"Host", call.call.service});
    headers.push_back(
        {std::string(timeout_header), std::to_string(remaining.count)});
    if (!call.call.trace_parent.empty())
    {
        headers.push_back(
            {std::string(trace_parent_header), call.call.trace_parent});
    }
    headers.push_back(
        {std::string(trace_state_header),
         trace_state_for(id, call.call.trace_state)});
    transfer.host = backend.host;
    transfer.port = backend.port;
    //! The baselines do not bound work by its deadline.
    const bool full = decisions::is_full(this->tables.variant);
    transfer.timeout = full ? remaining : baseline_timeout;
    transfer.connect_timeout = {backend.connect_timeout_ms};
    return transfer;
}

void target_side::start(std::uint64_t id)
{
    const auto now = base::now();
    std::optional<http::transfer_request> transfer;
    bool late = false;
    std::uint64_t root = 0;
    this->serving.with(
        [&](serving_table& table)
        {
            const auto found = table.calls.find(id);
            if (found == table.calls.end())
            {
                return;
            }
            auto& call = found->second;
            late = call.deadline <= now;
            if (late)
            {
                return;
            }
            root = call.call.root;
            call.state = phase::running;
            call.started = now;
            transfer = this->make_transfer(id, call, now);
        });
    if (late)
    {
        this->finish(
            id, make_refusal(base::verdict::not_run, refusal::deadline),
            decisions::completion::ignored, {0});
        return;
    }
    if (!transfer)
    {
        return;
    }
    const auto number = this->client->start(
        std::move(*transfer), [this, id](http::transfer_result result)
        { this->on_transfer(id, std::move(result)); });
    this->serving.with(
        [&](serving_table& table)
        {
            const auto found = table.calls.find(id);
            if (found != table.calls.end())
            {
                found->second.transfer = number;
            }
        });
}

schema::answer target_side::to_answer(
    http::transfer_result& result, std::uint32_t shed_status) const
{
    using base::verdict;
    switch (result.outcome)
    {
    case http::transfer_outcome::answered:
        break;
    case http::transfer_outcome::unsent:
        return make_refusal(verdict::not_run, refusal::backend_down);
    case http::transfer_outcome::broken:
        return make_refusal(verdict::may_have_run, refusal::connection_lost);
    case http::transfer_outcome::timed_out:
        return make_refusal(verdict::may_have_run, refusal::timeout);
    case http::transfer_outcome::too_large:
        return make_refusal(verdict::may_have_run, refusal::memory);
    case http::transfer_outcome::cancelled:
        return make_refusal(verdict::may_have_run, refusal::cancelled);
    }
    if (shed_status != 0 && result.answer.status == shed_status)
    {
        return make_refusal(verdict::not_run, refusal::shed_by_backend);
    }
    schema::answer answer;
    answer.verdict = static_cast<std::uint32_t>(verdict::ran);
    answer.status = result.answer.status;
    answer.headers = std::move(result.answer.headers);
    answer.body = std::move(result.answer.body);
    return answer;
}

void target_side::on_transfer(std::uint64_t id, http::transfer_result result)
{
    const auto shed_status = this->serving.with([](serving_table& table)
                                                { return table.shed_status; });
    const auto outcome = result.outcome;
    const base::duration_ms duration{
        static_cast<std::int64_t>(result.duration_ms)};
    auto answer = this->to_answer(result, shed_status);
    if (outcome == http::transfer_outcome::broken)
    {
        this->probe_after_break(id, answer);
        return;
    }
    if (answer.reason == refusal::backend_down)
    {
        this->monitor.on_refused();
    }
    const bool ran = answer.reason == refusal::none;
    const bool shed = answer.reason == refusal::shed_by_backend;
    const bool cancelled = answer.reason == refusal::cancelled;
    const auto kind = ran         ? decisions::completion::served
                      : shed      ? decisions::completion::shed
                      : cancelled ? decisions::completion::ignored
                                  : decisions::completion::failed;
    this->finish(id, std::move(answer), kind, duration);
}

void target_side::probe_after_break(
    std::uint64_t id, const schema::answer& answer)
{
    this->serving.with(
        [&](serving_table& table)
        {
            const auto found = table.calls.find(id);
            if (found != table.calls.end())
            {
                found->second.state = phase::probing;
            }
        });
    this->monitor.probe(
        [this, id, answer](bool refused)
        {
            if (refused)
            {
                this->on_backend_death(id, answer);
                return;
            }
            this->finish(id, answer, decisions::completion::failed, {0});
        });
}

void target_side::on_backend_death(std::uint64_t id, schema::answer answer)
{
    const bool first = this->monitor.is_up();
    this->monitor.on_refused();
    schema::strike strike;
    this->serving.with(
        [&](serving_table& table)
        {
            const auto found = table.calls.find(id);
            if (found == table.calls.end())
            {
                return;
            }
            table.deaths += first ? 1 : 0;
            const auto& call = found->second.call;
            strike.service = call.service;
            strike.fingerprint = call.digest;
            strike.death =
                death_name(this->tables.settings.node.instance, table.deaths);
            table.quarantine.strike(call.digest, strike.death, base::now());
        });
    if (!strike.death.empty())
    {
        this->tables.note(
            {0, "strike", 0, id, strike.service,
             "death=" + strike.death +
                 " fingerprint=" + base::to_hex(strike.fingerprint)});
        this->broadcast_strike(strike);
    }
    answer.struck = true;
    //! The caller's node hands the death's name on with a retry.
    answer.body = strike.death;
    this->finish(id, std::move(answer), decisions::completion::failed, {0});
}

void target_side::finish(
    std::uint64_t id, schema::answer answer, decisions::completion kind,
    base::duration_ms service_time)
{
    const auto now = base::now();
    decisions::admission_actions actions;
    std::optional<serving_call> ended;
    std::vector<std::uint64_t> released;
    this->serving.with(
        [&](serving_table& table)
        {
            const auto found = table.calls.find(id);
            if (found == table.calls.end())
            {
                return;
            }
            ended = std::move(found->second);
            table.calls.erase(found);
            table.by_remote.erase({ended->link, ended->call.id});
            actions = table.admission.finish(id, kind, service_time, now);
            if (ended->trial)
            {
                table.quarantine.end_trial(ended->call.digest);
                released.assign(
                    table.trial_queue.begin(), table.trial_queue.end());
                table.trial_queue.clear();
                for (const auto waiting : released)
                {
                    const auto held = table.calls.find(waiting);
                    if (held != table.calls.end())
                    {
                        held->second.state = phase::waiting;
                    }
                }
            }
        });
    if (!ended)
    {
        this->tables.counts.on_event("late_backend_answer");
        return;
    }
    if (answer.reason != refusal::none)
    {
        this->cancel_children(id);
    }
    if (ended->trial)
    {
        this->end_trial(*ended, answer);
    }
    this->note_served(*ended, id, service_time);
    this->send_answer(*ended, std::move(answer));
    this->apply(actions);
    for (const auto waiting : released)
    {
        this->admit(waiting);
    }
}

void target_side::note_served(
    const serving_call& call, std::uint64_t id, base::duration_ms service_time)
{
    if (call.state != phase::running)
    {
        return;
    }
    const auto waited = call.started - call.arrived;
    this->tables.counts.on_backend_call(
        static_cast<double>(waited.count) / ms_per_s,
        static_cast<double>(service_time.count) / ms_per_s);
    const auto timeout = call.deadline - call.arrived;
    this->tables.events.record(
        {0, "serve", call.call.root, id, call.call.service,
         "priority=" + std::to_string(call.call.priority) +
             " depth=" + std::to_string(call.call.depth) +
             " timeout_ms=" + std::to_string(timeout.count) +
             " waited_ms=" + std::to_string(waited.count) +
             " service_ms=" + std::to_string(service_time.count) +
             " long=" + (call.call.long_work ? "1" : "0")});
}

void target_side::end_trial(
    const serving_call& call, const schema::answer& answer)
{
    if (answer.struck || answer.reason != refusal::none)
    {
        return;
    }
    schema::strike cleared;
    cleared.service = call.call.service;
    cleared.fingerprint = call.call.digest;
    cleared.cleared = true;
    this->on_strike(cleared);
    this->broadcast_strike(cleared);
}

void target_side::refuse(
    std::uint64_t id, schema::refusal reason, const std::string& detail)
{
    std::optional<serving_call> ended;
    this->serving.with(
        [&](serving_table& table)
        {
            const auto found = table.calls.find(id);
            if (found == table.calls.end())
            {
                return;
            }
            ended = std::move(found->second);
            table.calls.erase(found);
            table.by_remote.erase({ended->link, ended->call.id});
            if (ended->trial)
            {
                table.quarantine.end_trial(ended->call.digest);
            }
        });
    if (ended)
    {
        this->tables.note(
            {0, "refuse", ended->call.root, id, ended->call.service,
             "reason=" + std::string(schema::to_string(reason)) + detail});
        this->send_answer(*ended, make_refusal(base::verdict::not_run, reason));
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
                affordable};
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

void target_side::on_strike(const schema::strike& strike)
{
    this->serving.with(
        [&](serving_table& table)
        {
            if (strike.cleared)
            {
                table.quarantine.clear(strike.fingerprint);
                return;
            }
            table.quarantine.strike(
                strike.fingerprint, strike.death, base::now());
        });
}

void target_side::broadcast_strike(const schema::strike& strike)
{
    std::vector<decisions::target_view> peers;
    this->tables.with_targets(
        strike.service, [&](auto& targets, routing_table&)
        { peers = targets.view(base::now()); });
    const auto body = transport::encode(strike);
    for (const auto& peer : peers)
    {
        if (peer.address.instance != this->tables.settings.node.instance)
        {
            const auto link =
                this->network->link_to({peer.address.host, peer.address.port});
            this->network->send(link, transport::frame_kind::strike, body, 0);
        }
    }
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
