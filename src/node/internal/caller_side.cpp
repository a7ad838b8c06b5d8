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
constexpr std::uint32_t first_server_error = 500;
constexpr std::uint64_t max_timeout_ms = 3600000;
constexpr double ms_per_s = 1000;
//! Attempts at each hop under the baseline policies.
constexpr std::uint32_t baseline_attempts = 4;

bool is_overload(schema::refusal reason)
{
    return reason == refusal::overload || reason == refusal::shed_by_backend;
}

verdict verdict_of(const schema::answer& answer)
{
    return static_cast<verdict>(answer.verdict);
}

//! A refusal that did not come from the home of the call's key. An earlier
//! send may have run, so not_run holds for a first send only.
schema::answer refuse_before_home(const schema::call& call, refusal reason)
{
    const bool first = call.key.empty() || call.send_number == 1;
    return make_refusal(
        first ? verdict::not_run : verdict::may_have_run, reason);
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
            wants_key = !call.call.key.empty()](schema::answer answer)
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

void caller_side::route_by_key(origin_call fresh)
{
    const auto& own = this->tables.settings.node;
    const auto& key = fresh.call.key;
    if (issued_key::has_form(key))
    {
        const auto issued = issued_key::parse(key, own.key);
        if (!issued)
        {
            fresh.reply(make_refusal(verdict::not_run, refusal::key_unknown));
            return;
        }
        const bool here =
            issued->host == own.address && issued->port == own.node_port;
        if (!here)
        {
            this->send_home(std::move(fresh), {"", issued->host, issued->port});
            return;
        }
        if (issued->incarnation != this->tables.incarnation)
        {
            fresh.reply(
                make_refusal(verdict::may_have_run, refusal::key_home_gone));
            return;
        }
        this->run_at_home(std::move(fresh), issued->sequence, true);
        return;
    }
    std::optional<decisions::target_address> home;
    this->tables.with_targets(
        fresh.call.service, [&](auto& targets, routing_table&)
        { home = targets.owner(base::hash(key)); });
    if (!home)
    {
        fresh.reply(refuse_before_home(fresh.call, refusal::no_target));
        return;
    }
    if (home->instance == own.instance)
    {
        this->run_at_home(std::move(fresh), 0, false);
        return;
    }
    this->send_home(std::move(fresh), *home);
}

void caller_side::send_home(
    origin_call fresh, const decisions::target_address& home)
{
    fresh.route = route_kind::home;
    fresh.fixed_target = home;
    fresh.call.home = true;
    this->begin(std::move(fresh));
}

void caller_side::run_at_home(
    origin_call fresh, std::uint64_t sequence, bool issued)
{
    const decisions::keyed_send send{
        fresh.call.key, fresh.call.service, fresh.call.digest,
        fresh.call.send_number};
    const auto now = base::now();
    const auto decision = this->tables.keys.with(
        [&](auto& records)
        {
            auto result = issued ? records.on_issued(sequence, send, now)
                                 : records.on_own(send, now);
            if (std::holds_alternative<decisions::join_running>(result))
            {
                this->origins.with(
                    [&](origin_table& table) {
                        table.joined[send.service + '/' + send.key].push_back(
                            fresh.reply);
                    });
            }
            return result;
        });
    if (std::holds_alternative<decisions::run_now>(decision))
    {
        fresh.keyed = send;
        this->begin(std::move(fresh));
    }
    else if (
        const auto* recorded =
            std::get_if<decisions::answer_recorded>(&decision))
    {
        this->tables.counts.on_event("answered_from_record");
        fresh.reply(recorded->answer);
    }
    else if (
        const auto* refused = std::get_if<decisions::refuse_send>(&decision))
    {
        fresh.reply(make_refusal(refused->verdict, refused->reason));
    }
}

void caller_side::on_home_call(
    transport::link_id link, schema::call call, base::duration_ms delay)
{
    origin_call fresh;
    fresh.id = base::random_bits();
    fresh.started = base::now();
    fresh.deadline =
        fresh.started + base::duration_ms{call.remaining_ms} - delay;
    fresh.budget = decisions::retry_budget(call.budget);
    fresh.home_link = link;
    fresh.home_call = call.id;
    const auto remote = call.id;
    const auto digest = call.digest;
    fresh.reply = [this, link, remote, digest](schema::answer answer)
    {
        answer.id = remote;
        answer.digest = digest;
        answer.load = {};
        this->network->send(
            link, transport::frame_kind::answer, transport::encode(answer), 0);
    };
    call.home = false;
    fresh.call = std::move(call);
    const auto& own = this->tables.settings.node;
    if (!issued_key::has_form(fresh.call.key))
    {
        this->run_at_home(std::move(fresh), 0, false);
        return;
    }
    const auto issued = issued_key::parse(fresh.call.key, own.key);
    if (!issued)
    {
        fresh.reply(make_refusal(verdict::not_run, refusal::key_unknown));
        return;
    }
    if (issued->incarnation != this->tables.incarnation)
    {
        fresh.reply(
            make_refusal(verdict::may_have_run, refusal::key_home_gone));
        return;
    }
    this->run_at_home(std::move(fresh), issued->sequence, true);
}

void caller_side::begin(origin_call fresh)
{
    const auto id = fresh.id;
    const auto service = fresh.call.service;
    const auto percent = this->tables.policy(service)
                             .value_or(schema::service_policy{})
                             .retry_ratio_percent;
    this->tables.routing.with(
        [&](routing_table& table)
        { table.retries.on_fresh_call(service, percent); });
    this->origins.with([&](origin_table& table)
                       { table.insert(std::move(fresh)); });
    this->dispatch(id);
}

std::optional<decisions::target_address>
caller_side::choose_target(const origin_call& call, schema::refusal& reason)
{
    if (call.route != route_kind::balanced)
    {
        return call.fixed_target;
    }
    std::optional<decisions::target_address> target;
    reason = refusal::no_target;
    this->tables.with_targets(
        call.call.service,
        [&](auto& targets, routing_table& table)
        {
            const auto now = base::now();
            const bool full = decisions::is_full(this->tables.variant);
            if (full &&
                targets.floor_refuses(call.call.priority, table.random, now))
            {
                reason = refusal::overload;
                return;
            }
            target = targets.choose(call.tried, table.random, now);
            if (target)
            {
                targets.on_dispatch(target->instance, now);
            }
        });
    return target;
}

void caller_side::dispatch(std::uint64_t id)
{
    std::optional<decisions::target_address> target;
    auto reason = refusal::none;
    std::uint64_t attempt = 0;
    this->origins.with(
        [&](origin_table& table)
        {
            const auto found = table.calls.find(id);
            if (found == table.calls.end())
            {
                return;
            }
            auto& call = found->second;
            const auto now = base::now();
            if (call.deadline <= now)
            {
                reason = refusal::deadline;
                return;
            }
            target = this->choose_target(call, reason);
            if (!target)
            {
                return;
            }
            attempt = table.next_attempt++;
            call.attempt = attempt;
            call.target = target->instance;
            call.tried.insert(target->instance);
            call.dispatched = now;
            call.handed_budget = call.budget.take_for_dispatch();
            call.call.id = attempt;
            call.call.budget = call.handed_budget;
            call.call.remaining_ms = (call.deadline - now).count;
            call.link = 0;
            ++call.dispatches;
            table.attempts.emplace(attempt, id);
        });
    if (attempt == 0)
    {
        this->refuse_dispatch(id, reason);
        return;
    }
    if (target->instance == this->tables.settings.node.instance)
    {
        this->dispatch_local(id, attempt);
        return;
    }
    this->dispatch_remote(id, attempt, *target);
}

void caller_side::plan_reroute(origin_table& table, const origin_call& call)
{
    const bool possible = call.call.repeatable && !call.call.long_work &&
                          call.route == route_kind::balanced &&
                          call.dispatches == 1 && call.budget.left() > 0 &&
                          decisions::is_full(this->tables.variant);
    if (!possible)
    {
        return;
    }
    const auto delay = this->tables.routing.with(
        [&](routing_table& routing)
        { return routing.delays[call.call.service].delay(); });
    if (delay)
    {
        table.by_reroute.emplace(call.dispatched + *delay, call.attempt);
    }
}

void caller_side::refuse_dispatch(std::uint64_t id, schema::refusal reason)
{
    schema::answer answer;
    this->origins.with(
        [&](origin_table& table)
        {
            const auto found = table.calls.find(id);
            if (found != table.calls.end())
            {
                const auto& call = found->second;
                answer = call.route == route_kind::home
                             ? refuse_before_home(call.call, reason)
                             : make_refusal(verdict::not_run, reason);
            }
        });
    this->complete(id, std::move(answer));
}

void caller_side::dispatch_local(std::uint64_t id, std::uint64_t attempt)
{
    std::optional<schema::call> call;
    base::time_ms deadline;
    this->origins.with(
        [&](origin_table& table)
        {
            const auto found = table.calls.find(id);
            if (found != table.calls.end())
            {
                call = found->second.call;
                deadline = found->second.deadline;
            }
        });
    if (!call)
    {
        return;
    }
    const auto serving = this->targets.offer_local(
        *call, deadline,
        [this, attempt](schema::answer answer) {
            this->on_attempt_end(attempt, {std::move(answer), true});
        });
    this->origins.with(
        [&](origin_table& table)
        {
            const auto found = table.calls.find(id);
            if (found != table.calls.end() && found->second.attempt == attempt)
            {
                found->second.local_serving = serving;
            }
        });
}

void caller_side::dispatch_remote(
    std::uint64_t id, std::uint64_t attempt,
    const decisions::target_address& target)
{
    const auto link = this->network->link_to({target.host, target.port});
    std::optional<std::string> body;
    this->origins.with(
        [&](origin_table& table)
        {
            const auto found = table.calls.find(id);
            if (found == table.calls.end())
            {
                return;
            }
            found->second.link = link;
            table.by_link[link].insert(attempt);
            body = transport::encode(found->second.call);
        });
    if (!body)
    {
        return;
    }
    const bool queued = this->network->send(
        link, transport::frame_kind::call, std::move(*body), attempt);
    if (!queued)
    {
        this->on_attempt_end(
            attempt,
            {make_refusal(verdict::not_run, refusal::unreachable), false});
    }
}

void caller_side::on_answer(transport::link_id link, schema::answer answer)
{
    bool expected = false;
    this->origins.with(
        [&](origin_table& table)
        {
            const auto found = table.attempts.find(answer.id);
            if (found == table.attempts.end())
            {
                return;
            }
            const auto& call = table.calls.at(found->second);
            expected = call.link == link && call.call.digest == answer.digest;
        });
    if (!expected)
    {
        this->tables.note({0, "stray_answer", 0, answer.id, "", ""});
        return;
    }
    const auto attempt = answer.id;
    this->on_attempt_end(attempt, {std::move(answer), true});
}

void caller_side::on_link_down(
    transport::link_id link, const transport::link_loss& loss)
{
    std::vector<std::uint64_t> lost;
    this->origins.with(
        [&](origin_table& table)
        {
            const auto found = table.by_link.find(link);
            if (found != table.by_link.end())
            {
                lost.assign(found->second.begin(), found->second.end());
            }
        });
    for (const auto attempt : lost)
    {
        const bool unsent =
            !loss.established ||
            std::find(
                loss.unsent_calls.begin(), loss.unsent_calls.end(), attempt) !=
                loss.unsent_calls.end();
        const auto answer =
            unsent
                ? make_refusal(verdict::not_run, refusal::unreachable)
                : make_refusal(verdict::may_have_run, refusal::connection_lost);
        this->on_attempt_end(attempt, {answer, false});
    }
}

void caller_side::report_result(const origin_call& call, const attempt_end& end)
{
    const auto now = base::now();
    const bool refused = verdict_of(end.answer) == verdict::not_run;
    this->tables.with_targets(
        call.call.service,
        [&](auto& targets, routing_table&)
        {
            if (!end.answered)
            {
                targets.on_unreachable(call.target, now);
            }
            if (end.answer.reason == refusal::draining)
            {
                targets.on_draining(call.target, true);
            }
            const bool down = end.answer.reason == refusal::backend_down;
            if (down)
            {
                targets.on_unreachable(call.target, now);
            }
            targets.on_result(
                call.target,
                {end.answered && !down, end.abandoned, refused,
                 now - call.dispatched, end.answer.load},
                now);
        });
}

bool caller_side::may_retry(origin_call& call, const schema::answer& answer)
{
    const auto now = base::now();
    if (call.deadline <= now || call.route == route_kind::home)
    {
        return false;
    }
    switch (answer.reason)
    {
    case refusal::deadline:
    case refusal::quarantined:
    case refusal::cancelled:
        return false;
    default:
        break;
    }
    const auto outcome = verdict_of(answer);
    const bool failed = answer.status >= first_server_error;
    const bool safe = outcome == verdict::not_run || call.call.repeatable;
    if (!safe || (outcome == verdict::ran && !failed))
    {
        return false;
    }
    const bool allowed = this->tables.routing.with(
        [&](routing_table& table)
        {
            //! A draining target costs nothing, so its calls need no token.
            return call.budget.left() > 0 &&
                   (answer.reason == refusal::draining ||
                    table.retries.allow_retry(call.call.service));
        });
    return allowed && call.budget.spend();
}

void caller_side::prepare_retry(origin_call& call, const schema::answer& answer)
{
    if (answer.struck)
    {
        call.call.struck_by.push_back(answer.body);
    }
    call.call.rerun |= verdict_of(answer) != verdict::not_run;
    const bool struck =
        !call.call.struck_by.empty() || answer.reason == refusal::suspected;
    this->tables.with_targets(
        call.call.service,
        [&](auto& targets, routing_table&)
        {
            if (struck)
            {
                std::set<std::string> dead;
                for (const auto& death : call.call.struck_by)
                {
                    dead.insert(death.substr(0, death.rfind('#')));
                }
                const auto owner = targets.owner(call.call.digest, dead);
                call.route = owner ? route_kind::pinned : call.route;
                call.fixed_target = owner.value_or(decisions::target_address{});
                return;
            }
            //! With every target tried, the first may be tried again.
            const auto rows = targets.view(base::now());
            const bool untried = std::any_of(
                rows.begin(), rows.end(),
                [&](const auto& row)
                { return call.tried.count(row.address.instance) == 0; });
            if (!untried)
            {
                call.tried.clear();
            }
        });
}

void caller_side::on_attempt_end(std::uint64_t attempt, attempt_end end)
{
    std::uint64_t id = 0;
    bool again = false;
    this->origins.with(
        [&](origin_table& table)
        {
            const auto found = table.attempts.find(attempt);
            if (found == table.attempts.end())
            {
                return;
            }
            id = found->second;
            auto& call = table.calls.at(id);
            table.end_attempt(call);
            call.budget.give_back(
                std::min(end.answer.unspent, call.handed_budget));
            call.handed_budget = 0;
            if (call.route != route_kind::home)
            {
                this->report_result(call, end);
            }
            else if (
                !end.answered && verdict_of(end.answer) == verdict::not_run)
            {
                end.answer = refuse_before_home(call.call, end.answer.reason);
            }
            again = this->may_retry(call, end.answer);
            if (again)
            {
                this->prepare_retry(call, end.answer);
            }
        });
    if (id == 0)
    {
        this->tables.note({0, "stray_answer", 0, attempt, "", ""});
        return;
    }
    if (again)
    {
        this->tables.note(
            {0, "retry", 0, id, "",
             "after=" + std::string(schema::to_string(end.answer.reason))});
        this->dispatch(id);
        return;
    }
    this->complete(id, std::move(end.answer));
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
    this->complete_key(*call, answer);
    call->reply(std::move(answer));
}

void caller_side::complete_key(
    const origin_call& call, const schema::answer& answer)
{
    if (!call.keyed)
    {
        return;
    }
    std::vector<answer_handler> waiting;
    this->tables.keys.with(
        [&](auto& records)
        {
            records.finish(*call.keyed, answer);
            this->origins.with(
                [&](origin_table& table)
                {
                    const auto found = table.joined.find(
                        call.keyed->service + '/' + call.keyed->key);
                    if (found != table.joined.end())
                    {
                        waiting = std::move(found->second);
                        table.joined.erase(found);
                    }
                });
        });
    for (const auto& reply : waiting)
    {
        reply(answer);
    }
}

void caller_side::stop_attempt(const origin_call& call)
{
    if (call.local_serving != 0)
    {
        this->targets.cancel(call.local_serving);
    }
    else if (call.attempt != 0 && call.link != 0)
    {
        this->network->send(
            call.link, transport::frame_kind::cancel,
            transport::encode(schema::cancel{call.attempt}), 0);
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
        this->stop_attempt(*snapshot);
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

void caller_side::reroute_slow(base::time_ms now)
{
    std::vector<origin_call> slow;
    this->origins.with(
        [&](origin_table& table)
        {
            auto& index = table.by_reroute;
            while (!index.empty() && index.begin()->first <= now)
            {
                const auto found = table.attempts.find(index.begin()->second);
                if (found != table.attempts.end())
                {
                    slow.push_back(table.calls.at(found->second));
                }
                index.erase(index.begin());
            }
        });
    for (const auto& call : slow)
    {
        const bool allowed = this->tables.routing.with(
            [&](routing_table& table)
            { return table.retries.tokens(call.call.service) >= 1; });
        if (!allowed)
        {
            continue;
        }
        this->tables.note({0, "reroute", call.call.root, call.id, "", ""});
        this->stop_attempt(call);
        this->on_attempt_end(
            call.attempt,
            {make_refusal(verdict::may_have_run, refusal::timeout), false,
             true});
    }
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
        this->stop_attempt(call);
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
