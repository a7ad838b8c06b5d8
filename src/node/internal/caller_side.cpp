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
//! Upper limit of a time-out that a caller may set.
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

void caller_side::set_network(transport::peer_network& network)
{
    this->network = &network;
}

void caller_side::set_server(const http::http_server& new_server)
{
    this->server = &new_server;
}

void caller_side::on_request(
    std::uint64_t connection, http::request request, http::respond respond)
{
    if (this->tables.platform_headers)
    {
        this->on_routed_request(
            {connection, std::move(request), std::move(respond), base::now()});
        return;
    }
    if (request.target == keys_path && request.method == "POST")
    {
        this->on_key_request(respond);
        return;
    }
    const auto service = service_of(request);
    const auto policy = this->tables.policy(service);
    if (!policy)
    {
        respond(make_problem_response(
            not_found_status, "unknown service",
            "no policy is in force for the service in the Host header: " +
                service));
        return;
    }
    const auto route = find_route(*policy, request);
    const auto key = http::find_header(request.headers, key_header);
    if (!route.repeatable && route.key_required && key.empty())
    {
        auto answer = make_problem_response(
            key_required_status, "idempotency key required",
            "send the request again with the Idempotency-Key header of this "
            "response");
        answer.headers.push_back({"Idempotency-Key", this->make_issued_key()});
        respond(std::move(answer));
        return;
    }
    auto new_call =
        this->make_call(connection, std::move(request), *policy, route);
    new_call.reply = this->make_http_reply(new_call, std::move(respond));
    if (!this->take_while_stopping(new_call))
    {
        this->refuse_stopping(new_call);
        return;
    }
    if (new_call.budget_exhausted)
    {
        this->refuse_budget_exhausted(new_call);
        return;
    }
    if (!this->resend_allowed(new_call))
    {
        this->tables.node_metrics.on_event("resend_held_back");
        new_call.reply(
            make_refusal_without_home(new_call.message, refusal::overload));
        return;
    }
    if (new_call.message.key.empty() || route.repeatable)
    {
        this->start_call(std::move(new_call));
        return;
    }
    this->route_by_key(std::move(new_call));
}

void caller_side::refuse_budget_exhausted(const outbound_call& call)
{
    this->tables.record_event(
        {0, "budget_exhausted", call.message.root, call.id,
         call.message.service, ""});
    this->targets.return_budget(call.parent, call.budget.left(), 0);
    call.reply(make_refusal(verdict::not_run, refusal::budget));
}

void caller_side::on_key_request(const http::respond& respond)
{
    http::response answer;
    answer.status = created_status;
    const auto key = this->make_issued_key();
    answer.headers = {
        {"Content-Type", "application/json"}, {"Idempotency-Key", key}};
    answer.body = "{\"key\":\"" + key + "\"}";
    respond(std::move(answer));
}

std::string caller_side::make_issued_key()
{
    const auto sequence = this->tables.keys.with(
        [](auto& records) { return records.issue(base::now()); });
    const auto& local_node = this->tables.settings.node;
    return issued_key{
        local_node.address, local_node.node_port, this->tables.incarnation,
        sequence}
        .format(local_node.key);
}

outbound_call caller_side::make_call(
    std::uint64_t connection, http::request request,
    const schema::service_policy& policy, const schema::route_policy& route)
{
    outbound_call new_call;
    new_call.id = base::random_bits();
    new_call.connection = connection;
    new_call.started = base::now();
    auto& call = new_call.message;
    call.service = policy.name;
    call.method = request.method;
    call.path = request.target;
    call.headers = end_to_end_headers(request.headers);
    call.body = std::move(request.body);
    call.digest =
        base::hash_parts({call.service, call.method, call.path, call.body});
    call.repeatable = route.repeatable;
    call.long_work = route.long_work;
    call.key = http::find_header(request.headers, key_header);
    call.send_number = static_cast<std::uint32_t>(
        parse_number_header(request.headers, send_number_header).value_or(0));
    call.trace_parent = http::find_header(request.headers, trace_parent_header);
    call.trace_state = http::find_header(request.headers, trace_state_header);
    this->apply_context(new_call, request, policy, route);
    return new_call;
}

void caller_side::apply_context(
    outbound_call& new_call, const http::request& request,
    const schema::service_policy& policy, const schema::route_policy& route)
{
    const auto now = new_call.started;
    const auto requested_ms =
        parse_number_header(request.headers, timeout_header);
    const base::duration_ms timeout{static_cast<std::int64_t>(
        std::min(requested_ms.value_or(policy.timeout_ms), max_timeout_ms))};
    new_call.deadline =
        now + timeout - this->tables.suspensions.buffered_time(now);
    auto& call = new_call.message;
    const auto parent = call_id_from_trace(request.headers);
    const auto context =
        parent ? this->targets.take_context(*parent) : std::nullopt;
    if (context)
    {
        new_call.parent = *parent;
        new_call.deadline = std::min(new_call.deadline, context->deadline);
        new_call.budget = decisions::request_retry_budget(context->budget);
        call.root = context->root;
        call.depth = context->depth + 1;
        call.priority = context->priority;
        call.rerun = context->rerun;
        new_call.budget_exhausted = !context->within_budget;
        return;
    }
    // A call that names a parent unknown to this node gets no retries, since
    // the retry budget of its root is held at another node.
    new_call.budget =
        decisions::request_retry_budget(parent ? 0 : policy.retry_budget);
    call.root = new_call.id;
    call.priority = route.priority;
}

answer_handler
caller_side::make_http_reply(const outbound_call& call, http::respond respond)
{
    return [this, respond = std::move(respond), digest = call.message.digest,
            service = call.message.service, priority = call.message.priority,
            started = call.started,
            wants_key = !call.message.key.empty()](schema::answer answer)
    {
        const auto now = base::now();
        base::duration_ms retry_after{1000};
        if (is_overload(answer.reason))
        {
            this->tables.routing.with(
                [&](routing_table& table)
                { retry_after = table.resends.on_refusal(digest, now); });
        }
        const auto outcome = verdict_of(answer);
        const auto reason = answer.reason;
        auto response = to_response(std::move(answer), retry_after);
        if (wants_key)
        {
            response.headers.push_back(
                {std::string(next_key_header), this->make_issued_key()});
        }
        response.close = this->tables.draining;
        this->tables.node_metrics.on_request(
            service, outcome, reason, priority,
            static_cast<double>((now - started).count) / ms_per_s);
        respond(std::move(response));
    };
}

bool caller_side::resend_allowed(const outbound_call& call)
{
    if (call.parent != 0 || !decisions::is_full_policy(this->tables.variant))
    {
        return true;
    }
    return this->tables.routing.with(
        [&](routing_table& table)
        {
            return table.resends.allow(
                call.message.digest, call.message.service, call.started);
        });
}

void caller_side::start_call(outbound_call new_call)
{
    const auto id = new_call.id;
    const auto service = new_call.message.service;
    const bool rerun = new_call.message.rerun;
    const auto percent = this->tables.documents.with(
        [&](auto& store)
        {
            const auto* policy = store.policy(service);
            return policy == nullptr
                       ? schema::service_policy{}.retry_ratio_percent
                       : policy->retry_ratio_percent;
        });
    bool has_room = false;
    this->tables.routing.with(
        [&](routing_table& table)
        {
            const auto reserved = table.responses.reserve(
                latency_group(new_call), this->unread_response_bytes());
            has_room = reserved.has_value();
            new_call.reserved_bytes = reserved.value_or(0);
            if (this->tables.platform_headers)
            {
                table.routed_retries.on_first_attempt(service, base::now());
                if (rerun)
                {
                    table.routed_retries.on_rerun_call(service, base::now());
                }
                return;
            }
            table.retries.on_first_attempt(service, percent);
        });
    this->outbound_calls.with([&](outbound_call_table& table)
                              { table.insert(std::move(new_call)); });
    if (!has_room)
    {
        this->complete(id, make_refusal(verdict::not_run, refusal::memory));
        return;
    }
    this->dispatch(id);
}

void caller_side::complete(std::uint64_t id, schema::answer answer)
{
    const auto call = this->outbound_calls.with([&](outbound_call_table& table)
                                                { return table.extract(id); });
    if (!call)
    {
        return;
    }
    if (call->parent != 0)
    {
        this->targets.return_budget(
            call->parent, call->budget.left(), call->dispatches);
    }
    const bool may_have_run = this->tables.platform_headers
                                  ? call->earlier_may_have_run
                                  : call->message.rerun;
    if (may_have_run && verdict_of(answer) == verdict::not_run)
    {
        // The last attempt did not run, but an earlier one may have.
        answer.verdict = static_cast<std::uint32_t>(verdict::may_have_run);
    }
    if (call->reserved_bytes > 0)
    {
        this->tables.routing.with(
            [&](routing_table& table)
            { table.responses.release(call->reserved_bytes); });
    }
    answer.unspent = call->budget.left();
    answer.descendants = call->dispatches;
    if (answer.struck || answer.reason == refusal::suspected)
    {
        // The body names crashes, which is not meant for the caller.
        answer.body.clear();
    }
    this->tables.record_event(
        {0, "answer", call->message.root, id, call->message.service,
         "verdict=" + std::string(base::to_string(verdict_of(answer))) +
             " reason=" + std::string(schema::to_string(answer.reason))});
    if (this->tables.platform_headers)
    {
        this->record_if_failed(*call, answer);
    }
    this->complete_key(*call, answer);
    this->drop_if_too_large(answer);
    call->reply(std::move(answer));
}

void caller_side::stop_attempts(const outbound_call& call)
{
    this->stop_attempt(call.current_attempt());
    if (call.primary)
    {
        this->stop_attempt(*call.primary);
    }
}

void caller_side::stop_attempt(const attempt_state& state)
{
    if (state.local_inbound_call != 0)
    {
        this->targets.cancel(state.local_inbound_call);
    }
    else if (state.id != 0 && state.link != 0)
    {
        this->network->withdraw(
            state.link, transport::frame_kind::call, state.id);
        this->network->send(
            state.link, transport::frame_kind::cancel,
            transport::encode(schema::cancel{state.id, false}));
    }
}

void caller_side::cancel(std::uint64_t id)
{
    const auto snapshot = this->outbound_calls.with(
        [&](outbound_call_table& table) -> std::optional<outbound_call>
        {
            const auto found = table.calls.find(id);
            // A call under an idempotency key goes on: its record answers a
            // later send.
            const bool stop =
                found != table.calls.end() && !found->second.recorded_send;
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
    this->drop_waits(connection);
    const auto call_ids = this->outbound_calls.with(
        [&](outbound_call_table& table)
        {
            const auto found = table.by_connection.find(connection);
            return found == table.by_connection.end()
                       ? std::set<std::uint64_t>{}
                       : found->second;
        });
    for (const auto id : call_ids)
    {
        this->tables.record_event({0, "caller_gone", 0, id, "", ""});
        this->cancel(id);
    }
}

void caller_side::on_home_cancel(
    transport::link_id link, std::uint64_t remote_call)
{
    const auto id = this->outbound_calls.with(
        [&](outbound_call_table& table)
        {
            const auto found = table.by_remote_call.find({link, remote_call});
            return found == table.by_remote_call.end() ? 0 : found->second;
        });
    if (id != 0)
    {
        this->cancel(id);
    }
}

void caller_side::cancel_nested_calls(std::uint64_t inbound_call)
{
    const auto nested_calls = this->outbound_calls.with(
        [&](outbound_call_table& table)
        {
            const auto found = table.by_parent.find(inbound_call);
            return found == table.by_parent.end() ? std::set<std::uint64_t>{}
                                                  : found->second;
        });
    for (const auto id : nested_calls)
    {
        this->cancel(id);
    }
}

void caller_side::tick(base::time_ms now)
{
    this->reroute_slow_calls(now);
    this->expire_overdue_calls(now);
    this->resume_parent_waits(now);
}

void caller_side::expire_overdue_calls(base::time_ms now)
{
    std::vector<outbound_call> overdue;
    this->outbound_calls.with(
        [&](outbound_call_table& table)
        {
            for (const auto& [expiry, id] : table.by_expiry)
            {
                if (expiry > now)
                {
                    break;
                }
                overdue.push_back(table.calls.at(id));
            }
        });
    for (const auto& call : overdue)
    {
        this->stop_attempts(call);
        this->complete(
            call.id, make_refusal(verdict::may_have_run, refusal::timeout));
        this->tables.with_targets(
            call.message.service,
            [&](auto& targets, routing_table&)
            {
                targets.on_result(
                    call.target,
                    {false, true, false, now - call.dispatched, {}}, now);
            });
    }
}

std::set<transport::link_id> caller_side::links_awaiting_answers()
{
    return this->outbound_calls.with(
        [](outbound_call_table& table)
        {
            std::set<transport::link_id> links;
            for (const auto& [link, attempts] : table.by_link)
            {
                links.insert(link);
            }
            return links;
        });
}

std::size_t caller_side::call_count()
{
    return this->outbound_calls.with(
        [](outbound_call_table& table)
        {
            return table.calls.size() + table.quota_waits.size() +
                   table.parent_waits.size();
        });
}
} // namespace bilberrytally::node
