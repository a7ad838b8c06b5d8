#include "node/internal/caller_side.hpp"

#include "base/hash.hpp"
#include "node/internal/http_mapping.hpp"
#include "node/internal/issued_key.hpp"
#include "transport/message_codec.hpp"

#include <algorithm>

namespace bilberrytally::node
{
namespace
{
using base::verdict;
using schema::refusal;

constexpr std::string_view keys_path =
    "/.well-known/bilberrytally/idempotency-keys";
constexpr std::uint32_t created_status = 201;
constexpr std::uint32_t not_found_status = 404;
constexpr std::uint32_t key_required_status = 428;
constexpr std::uint64_t max_timeout_ms = 3600000;
constexpr double ms_per_s = 1000;

bool is_overload(schema::refusal reason)
{
    return reason == refusal::overload || reason == refusal::shed_by_backend;
}
} // namespace

caller_side::caller_side(node_tables& tables, target_side& targets)
    : tables(tables), targets(targets)
{
}

void caller_side::attach(transport::peer_network& network)
{
    this->network = &network;
}

void caller_side::on_request(
    std::uint64_t connection, const http::request& request,
    http::respond respond)
{
    if (this->tables.names)
    {
        this->on_routed_request(connection, request, std::move(respond));
        return;
    }
    if (request.target == keys_path && request.method == "POST")
    {
        this->issue_key(respond);
        return;
    }
    const auto service = service_of(request);
    const auto policy = this->tables.policy(service);
    if (!policy)
    {
        respond(problem(
            not_found_status, "unknown service",
            "the Host header names no service in force: " + service));
        return;
    }
    const auto route = find_route(*policy, request);
    const auto key = http::find_header(request.headers, key_header);
    if (!route.repeatable && route.key_required && key.empty())
    {
        auto answer = problem(
            key_required_status, "idempotency key required",
            "send again with the Idempotency-Key of this answer");
        answer.headers.push_back({"Idempotency-Key", this->next_key()});
        respond(std::move(answer));
        return;
    }
    auto fresh = this->make_call(connection, request, *policy, route);
    fresh.reply = this->make_http_reply(fresh, std::move(respond));
    if (fresh.over_budget)
    {
        this->refuse_over_budget(fresh);
        return;
    }
    if (!this->resend_allowed(fresh))
    {
        this->tables.counts.on_event("resend_held_back");
        fresh.reply(refuse_before_home(fresh.call, refusal::overload));
        return;
    }
    if (fresh.call.key.empty() || route.repeatable)
    {
        this->begin(std::move(fresh));
        return;
    }
    this->route_by_key(std::move(fresh));
}

void caller_side::refuse_over_budget(const origin_call& call)
{
    this->tables.note(
        {0, "budget_exhausted", call.call.root, call.id, call.call.service,
         ""});
    this->targets.give_back(call.parent, call.budget.left(), 0);
    call.reply(make_refusal(verdict::not_run, refusal::budget));
}

void caller_side::issue_key(const http::respond& respond)
{
    http::response answer;
    answer.status = created_status;
    const auto key = this->next_key();
    answer.headers = {
        {"Content-Type", "application/json"}, {"Idempotency-Key", key}};
    answer.body = "{\"key\":\"" + key + "\"}";
    respond(std::move(answer));
}

std::string caller_side::next_key()
{
    const auto sequence = this->tables.keys.with(
        [](auto& records) { return records.issue(base::now()); });
    const auto& own = this->tables.settings.node;
    return issued_key{
        own.address, own.node_port, this->tables.incarnation, sequence}
        .format(own.key);
}

origin_call caller_side::make_call(
    std::uint64_t connection, const http::request& request,
    const schema::service_policy& policy, const schema::route_policy& route)
{
    origin_call fresh;
    fresh.id = base::random_bits();
    fresh.connection = connection;
    fresh.started = base::now();
    auto& call = fresh.call;
    call.service = policy.name;
    call.method = request.method;
    call.path = request.target;
    call.headers = end_to_end_headers(request.headers);
    call.body = request.body;
    call.digest =
        base::hash_parts({call.service, call.method, call.path, call.body});
    call.repeatable = route.repeatable;
    call.long_work = route.long_work;
    call.key = http::find_header(request.headers, key_header);
    call.send_number = static_cast<std::uint32_t>(
        number_header(request.headers, attempt_header).value_or(0));
    call.trace_parent = http::find_header(request.headers, trace_parent_header);
    call.trace_state = http::find_header(request.headers, trace_state_header);
    this->apply_context(fresh, request, policy, route);
    return fresh;
}

void caller_side::apply_context(
    origin_call& fresh, const http::request& request,
    const schema::service_policy& policy, const schema::route_policy& route)
{
    const auto now = fresh.started;
    const auto named = number_header(request.headers, timeout_header);
    const base::duration_ms timeout{static_cast<std::int64_t>(
        std::min(named.value_or(policy.timeout_ms), max_timeout_ms))};
    fresh.deadline = now + timeout - this->tables.freezes.charge(now);
    auto& call = fresh.call;
    const auto parent = call_of_trace(request.headers);
    const auto context =
        parent ? this->targets.take_context(*parent) : std::nullopt;
    if (context)
    {
        fresh.parent = *parent;
        fresh.deadline = std::min(fresh.deadline, context->deadline);
        fresh.budget = decisions::retry_budget(context->budget);
        call.root = context->root;
        call.depth = context->depth + 1;
        call.priority = context->priority;
        call.rerun = context->rerun;
        fresh.over_budget = !context->affordable;
        return;
    }
    //! A trace without a context here gets no retries: the root's budget is
    //! held elsewhere.
    fresh.budget = decisions::retry_budget(parent ? 0 : policy.retry_budget);
    call.root = fresh.id;
    call.priority = route.priority;
}

answer_handler
caller_side::make_http_reply(const origin_call& call, http::respond respond)
{
    return [this, respond = std::move(respond), digest = call.call.digest,
            service = call.call.service, priority = call.call.priority,
            started = call.started,
            wants_key = !call.call.key.empty()](const schema::answer& answer)
    {
        const auto now = base::now();
        base::duration_ms retry_after{1000};
        if (is_overload(answer.reason))
        {
            this->tables.routing.with(
                [&](routing_table& table)
                { retry_after = table.resends.on_refusal(digest, now); });
        }
        auto response = to_response(answer, retry_after);
        if (wants_key)
        {
            response.headers.push_back(
                {std::string(next_key_header), this->next_key()});
        }
        response.close = this->tables.draining;
        this->tables.counts.on_request(
            service, verdict_of(answer), answer.reason, priority,
            static_cast<double>((now - started).count) / ms_per_s);
        respond(std::move(response));
    };
}

bool caller_side::resend_allowed(const origin_call& call)
{
    if (call.parent != 0 || !decisions::is_full(this->tables.variant))
    {
        return true;
    }
    return this->tables.routing.with(
        [&](routing_table& table)
        {
            return table.resends.allow(
                call.call.digest, call.call.service, call.started);
        });
}

void caller_side::begin(origin_call fresh)
{
    const auto id = fresh.id;
    const auto service = fresh.call.service;
    const bool repeated = fresh.call.rerun;
    const auto percent = this->tables.documents.with(
        [&](auto& store)
        {
            const auto* policy = store.policy(service);
            return policy == nullptr
                       ? schema::service_policy{}.retry_ratio_percent
                       : policy->retry_ratio_percent;
        });
    this->tables.routing.with(
        [&](routing_table& table)
        {
            if (this->tables.names)
            {
                table.fleet_retries.on_fresh_call(service, base::now());
                if (repeated)
                {
                    table.fleet_retries.on_repeated_call(service, base::now());
                }
                return;
            }
            table.retries.on_fresh_call(service, percent);
        });
    this->origins.with([&](origin_table& table)
                       { table.insert(std::move(fresh)); });
    this->dispatch(id);
}

void caller_side::complete(std::uint64_t id, schema::answer answer)
{
    const auto call = this->origins.with([&](origin_table& table)
                                         { return table.extract(id); });
    if (!call)
    {
        return;
    }
    if (call->parent != 0)
    {
        this->targets.give_back(
            call->parent, call->budget.left(), call->dispatches);
    }
    const bool may_have_run =
        this->tables.names ? call->earlier_may_have_run : call->call.rerun;
    if (may_have_run && verdict_of(answer) == verdict::not_run)
    {
        //! The last attempt did not run, but an earlier one may have.
        answer.verdict = static_cast<std::uint32_t>(verdict::may_have_run);
    }
    answer.unspent = call->budget.left();
    answer.descendants = call->dispatches;
    if (answer.struck)
    {
        answer.body.clear();
    }
    this->tables.note(
        {0, "answer", call->call.root, id, call->call.service,
         "verdict=" + std::string(base::to_string(verdict_of(answer))) +
             " reason=" + std::string(schema::to_string(answer.reason))});
    if (this->tables.names)
    {
        this->log_outcome(*call, answer);
    }
    this->complete_key(*call, answer);
    call->reply(std::move(answer));
}

void caller_side::stop_attempts(const origin_call& call)
{
    this->stop_attempt(call.present());
    if (call.earlier)
    {
        this->stop_attempt(*call.earlier);
    }
}

void caller_side::stop_attempt(const attempt_state& state)
{
    if (state.local_serving != 0)
    {
        this->targets.cancel(state.local_serving);
    }
    else if (state.attempt != 0 && state.link != 0)
    {
        this->network->send(
            state.link, transport::frame_kind::cancel,
            transport::encode(schema::cancel{state.attempt}), 0);
    }
}

void caller_side::cancel(std::uint64_t id)
{
    const auto snapshot = this->origins.with(
        [&](origin_table& table) -> std::optional<origin_call>
        {
            const auto found = table.calls.find(id);
            //! A keyed run goes on: its record answers a later send.
            const bool stop =
                found != table.calls.end() && !found->second.keyed;
            return stop ? std::optional(found->second) : std::nullopt;
        });
    if (snapshot)
    {
        this->stop_attempts(*snapshot);
        this->complete(
            id, make_refusal(verdict::may_have_run, refusal::cancelled));
    }
}

void caller_side::on_connection_closed(std::uint64_t connection)
{
    const auto gone = this->origins.with(
        [&](origin_table& table)
        {
            const auto found = table.by_connection.find(connection);
            return found == table.by_connection.end()
                       ? std::set<std::uint64_t>{}
                       : found->second;
        });
    for (const auto id : gone)
    {
        this->tables.note({0, "caller_gone", 0, id, "", ""});
        this->cancel(id);
    }
}

void caller_side::on_home_cancel(
    transport::link_id link, std::uint64_t remote_call)
{
    const auto id = this->origins.with(
        [&](origin_table& table)
        {
            const auto found = table.by_home_call.find({link, remote_call});
            return found == table.by_home_call.end() ? 0 : found->second;
        });
    if (id != 0)
    {
        this->cancel(id);
    }
}

void caller_side::cancel_children(std::uint64_t serving)
{
    const auto children = this->origins.with(
        [&](origin_table& table)
        {
            const auto found = table.by_parent.find(serving);
            return found == table.by_parent.end() ? std::set<std::uint64_t>{}
                                                  : found->second;
        });
    for (const auto id : children)
    {
        this->cancel(id);
    }
}

void caller_side::tick(base::time_ms now)
{
    this->reroute_slow(now);
    this->give_up_late(now);
}

void caller_side::give_up_late(base::time_ms now)
{
    std::vector<origin_call> late;
    this->origins.with(
        [&](origin_table& table)
        {
            for (const auto& [deadline, id] : table.by_deadline)
            {
                if (deadline > now)
                {
                    break;
                }
                late.push_back(table.calls.at(id));
            }
        });
    for (const auto& call : late)
    {
        this->stop_attempts(call);
        this->complete(
            call.id, make_refusal(verdict::may_have_run, refusal::timeout));
        this->tables.with_targets(
            call.call.service,
            [&](auto& targets, routing_table&)
            {
                targets.on_result(
                    call.target,
                    {false, true, false, now - call.dispatched, {}}, now);
            });
    }
}

std::set<transport::link_id> caller_side::awaiting_links()
{
    return this->origins.with(
        [](origin_table& table)
        {
            std::set<transport::link_id> links;
            for (const auto& [link, attempts] : table.by_link)
            {
                links.insert(link);
            }
            return links;
        });
}

std::size_t caller_side::calls()
{
    return this->origins.with([](origin_table& table)
                              { return table.calls.size(); });
}
} // namespace bilberrytally::node
