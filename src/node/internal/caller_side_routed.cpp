#include "base/hash.hpp"
#include "node/internal/caller_side.hpp"
#include "node/internal/http_mapping.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <cmath>

// The parts of caller_side for routed mode, in which a metadata store publishes
// the routes and targets.
namespace bilberrytally::node
{
namespace
{
using base::verdict;
using schema::refusal;

constexpr std::uint32_t not_found_status = 404;
constexpr std::uint32_t first_server_error = 500;
//! Upper limit of a time-out that a caller may set, and the time-out of
//! requests without one.
constexpr std::uint64_t max_timeout_ms = 3600000;
constexpr double ms_per_s = 1000;
//! Retry-After while the node knows no routes at all, for example before it has
//! read them from the store.
constexpr base::duration_ms no_routes_retry_after{500};
//! Retry-After while the proof of freshness is too old. A node in contact with
//! its peers gets a new one within this time.
constexpr base::duration_ms unproven_view_retry_after{500};
constexpr std::uint32_t unauthorized_status = 401;
//! Value of WWW-Authenticate, which a response with status 401 must have.
constexpr std::string_view authentication_scheme = "Bearer";
} // namespace

void caller_side::on_routed_request(received_request received)
{
    const auto& request = received.request;
    const std::string host(http::find_header(request.headers, "host"));
    std::size_t route_count = 0;
    const auto choice = this->tables.routes.with(
        [&](directory::route_map& routes)
        {
            route_count = routes.size();
            return routes.choose(host, request.target);
        });
    if (route_count == 0)
    {
        this->wait_for_routes(received);
        return;
    }
    if (!choice.matched_route)
    {
        this->refuse_without_route(host, received);
        return;
    }
    const auto parent = this->find_parent(request);
    const auto access =
        this->check_access(request, *choice.matched_route, parent.has_value());
    const bool undecided =
        access.decision == decisions::access_decision::unknown_parent;
    if (undecided && this->wait_for_parent(received))
    {
        return;
    }
    if (access.decision != decisions::access_decision::granted)
    {
        this->refuse_access(access.decision, received);
        return;
    }
    auto new_call = this->make_routed_call(received, choice, access, parent);
    new_call.reply = this->make_routed_reply(new_call, received.respond);
    if (!this->take_while_stopping(new_call))
    {
        this->refuse_stopping(new_call);
        return;
    }
    const bool has_quota = new_call.parent == 0 && access.workspace &&
                           access.workspace->rate_per_s > 0;
    if (has_quota)
    {
        this->start_within_quota(
            std::move(new_call), access.workspace, std::move(received.respond));
        return;
    }
    this->start_call(std::move(new_call));
}

void caller_side::wait_for_routes(received_request& received)
{
    const bool is_nested =
        this->targets.parent_may_exist(this->attempt_id_of(received.request));
    if (is_nested && this->wait_for_parent(received))
    {
        return;
    }
    this->tables.node_metrics.on_event("no_routes");
    received.respond(to_routed_response(
        make_refusal(verdict::not_run, refusal::no_target),
        no_routes_retry_after));
}

void caller_side::refuse_without_route(
    const std::string& host, const received_request& received)
{
    this->tables.record_event(
        {0, "no_route", 0, 0, host, "path=" + received.request.target});
    http::response answer;
    answer.status = not_found_status;
    answer.close = this->tables.draining;
    received.respond(std::move(answer));
}

std::string_view caller_side::attempt_id_of(const http::request& request) const
{
    return http::find_header(
        request.headers, this->tables.platform_headers->attempt_id);
}

std::optional<parent_context>
caller_side::find_parent(const http::request& request)
{
    return this->targets.find_context(this->attempt_id_of(request));
}

caller_side::access_result caller_side::check_access(
    const http::request& request, const directory::route& route,
    bool has_parent)
{
    access_result result;
    if (!this->tables.needs_proof)
    {
        return result;
    }
    const auto key = access_key_of(request.headers);
    const auto digest =
        key ? directory::digest_key(*key) : directory::key_digest{};
    decisions::access_question question;
    question.has_key = key.has_value();
    question.key_optional = route.anonymous || has_parent;
    question.parent_may_exist =
        !key && !has_parent &&
        this->targets.parent_may_exist(this->attempt_id_of(request));
    question.proof_age = this->tables.view_age(base::now());
    this->tables.access.with(
        [&](access_table& access)
        {
            result.configuration_version = access.workspaces.version();
            if (key)
            {
                result.workspace = access.workspaces.find(digest);
                result.key_id = directory::key_id(digest);
            }
            question.key_known = result.workspace != nullptr;
            result.decision = decisions::decide_access(question, access.limits);
        });
    return result;
}

void caller_side::refuse_access(
    decisions::access_decision decision, const received_request& received)
{
    using decisions::access_decision;
    if (decision == access_decision::unauthorized)
    {
        this->tables.node_metrics.on_event("unauthorized");
        http::response answer;
        answer.status = unauthorized_status;
        answer.headers.push_back(
            {"WWW-Authenticate", std::string(authentication_scheme)});
        answer.close = this->tables.draining;
        received.respond(std::move(answer));
        return;
    }
    auto reason = refusal::unproven_view;
    if (decision == access_decision::unknown_parent)
    {
        reason = refusal::unknown_parent;
        const auto waited = base::now() - received.received;
        this->tables.record_event(
            {0, "unknown_parent", 0, 0, "",
             "id=" + std::string(this->attempt_id_of(received.request)) +
                 " waited_ms=" + std::to_string(waited.count)});
    }
    else
    {
        this->tables.node_metrics.on_event("view_too_old");
    }
    received.respond(to_routed_response(
        make_refusal(verdict::not_run, reason), unproven_view_retry_after));
}

outbound_call caller_side::make_routed_call(
    received_request& received, const directory::route_choice& choice,
    const access_result& access, const std::optional<parent_context>& parent)
{
    auto& request = received.request;
    const auto& platform_headers = *this->tables.platform_headers;
    const auto& route = *choice.matched_route;
    outbound_call new_call;
    new_call.id = base::random_bits();
    new_call.connection = received.connection;
    new_call.started = received.received;
    const auto requested_ms =
        parse_number_header(request.headers, platform_headers.timeout);
    const base::duration_ms timeout{static_cast<std::int64_t>(
        std::min(requested_ms.value_or(max_timeout_ms), max_timeout_ms))};
    const auto bounded_timeout =
        route.timeout.count > 0 ? std::min(timeout, route.timeout) : timeout;
    const auto sent = new_call.started -
                      this->tables.suspensions.buffered_time(new_call.started);
    new_call.deadline = sent + bounded_timeout;
    new_call.caller_deadline = sent + timeout;
    new_call.limits = {route.repeatable, std::max(route.max_attempts, 1U)};
    new_call.latency_group = route.name + '/' + choice.service;
    new_call.latency_objective = route.latency_objective;
    auto& call = new_call.message;
    call.service = choice.service;
    call.method = request.method;
    call.path = request.target;
    call.headers = routed_headers(
        request.headers, platform_headers, access.configuration_version > 0);
    call.headers.push_back(
        {platform_headers.caller_service, this->tables.settings.node.service});
    call.body = std::move(request.body);
    call.digest =
        base::hash_parts({call.service, call.method, call.path, call.body});
    call.repeatable = route.repeatable;
    call.root = new_call.id;
    call.priority = route.priority;
    call.configuration_version = access.configuration_version;
    if (access.workspace)
    {
        call.priority = access.workspace->priority.value_or(route.priority);
        call.workspace = access.workspace->name;
        call.key_id = access.key_id;
        call.headers.push_back(
            {platform_headers.workspace, access.workspace->name});
    }
    if (parent)
    {
        this->apply_routed_context(new_call, *parent);
    }
    return new_call;
}

void caller_side::apply_routed_context(
    outbound_call& new_call, const parent_context& parent)
{
    this->tables.parent_ids_seen = true;
    new_call.parent = parent.inbound_id;
    new_call.deadline = std::min(new_call.deadline, parent.deadline);
    auto& call = new_call.message;
    call.root = parent.root;
    call.depth = parent.depth + 1;
    call.priority = parent.priority;
    call.rerun = parent.rerun;
    call.workspace = parent.workspace;
}

answer_handler
caller_side::make_routed_reply(const outbound_call& call, http::respond respond)
{
    routed_request facts{
        call.message.service,
        latency_group(call),
        call.message.priority,
        call.started,
        call.started + call.latency_objective,
        call.caller_deadline};
    return [this, respond = std::move(respond),
            facts = std::move(facts)](schema::answer answer)
    {
        const auto now = base::now();
        const auto outcome = verdict_of(answer);
        const auto reason = answer.reason;
        auto response = to_routed_response(
            std::move(answer), outcome == verdict::not_run
                                   ? this->retry_after(facts, reason, now)
                                   : base::duration_ms{0});
        response.close = this->tables.draining;
        this->tables.node_metrics.on_request(
            facts.service, outcome, reason, facts.priority,
            static_cast<double>((now - facts.started).count) / ms_per_s);
        respond(std::move(response));
    };
}

bool caller_side::may_retry_routed(
    outbound_call& call, const schema::answer& answer)
{
    if (decisions::may_have_arrived(answer))
    {
        ++call.history.arrivals;
    }
    else
    {
        ++call.history.refusals;
    }
    switch (decisions::after_attempt(answer, call.limits, call.history))
    {
    case decisions::next_step::finish:
        return false;
    case decisions::next_step::try_other_target:
        return this->has_untried_target(call);
    case decisions::next_step::retry:
        break;
    }
    return this->tables.routing.with(
        [&](routing_table& table)
        {
            return table.routed_retries.allow_retry(
                call.message.service, base::now());
        });
}

bool caller_side::has_untried_target(const outbound_call& call)
{
    bool untried = false;
    this->tables.with_targets(
        call.message.service,
        [&](auto& targets, routing_table&)
        {
            const auto rows = targets.view(base::now());
            untried = std::any_of(
                rows.begin(), rows.end(),
                [&](const auto& row)
                { return call.tried.count(row.address.instance) == 0; });
        });
    return untried;
}

bool caller_side::has_spare_target(const outbound_call& call)
{
    bool spare = false;
    this->tables.with_targets(
        call.message.service, [&](auto& targets, routing_table&)
        { spare = targets.has_spare_target(call.tried, base::now()); });
    return spare;
}

void caller_side::record_if_failed(
    const outbound_call& call, const schema::answer& answer)
{
    const auto outcome = verdict_of(answer);
    const bool failed =
        outcome != verdict::ran || answer.status >= first_server_error;
    if (!failed)
    {
        return;
    }
    const auto now = base::now();
    this->tables.last_outbound_failure_ms = now.count;
    if (call.parent != 0)
    {
        this->targets.record_nested_failure(call.parent);
    }
    LOG(INFO) << "event=request_failed id="
              << http::find_header(
                     call.message.headers,
                     this->tables.platform_headers->attempt_id)
              << " service=" << call.message.service
              << " path=" << call.message.path
              << " priority=" << call.message.priority
              << " depth=" << call.message.depth
              << " verdict=" << base::to_string(outcome)
              << " reason=" << schema::to_string(answer.reason)
              << " status=" << answer.status << " target=" << call.target
              << " attempts=" << call.dispatches
              << " took_ms=" << (now - call.started).count
              << " left_ms=" << (call.deadline - now).count;
}

base::duration_ms caller_side::retry_after(
    const routed_request& facts, schema::refusal reason, base::time_ms now)
{
    return this->tables.routing.with(
        [&](routing_table& table)
        {
            const auto overloaded_for =
                reason == refusal::overload
                    ? table.overloads.on_refusal(facts.service, now)
                    : base::duration_ms{0};
            const base::duration_ms expected_latency{std::llround(
                table.reroute_delays[facts.latency_group].mean_latency_ms())};
            std::uniform_real_distribution<double> position;
            return decisions::choose_retry_after(
                {overloaded_for, facts.objective_ends - now,
                 facts.caller_deadline - now, expected_latency},
                position(table.random));
        });
}
} // namespace bilberrytally::node
