#include "base/hash.hpp"
#include "node/internal/caller_side.hpp"
#include "node/internal/issued_key.hpp"
#include "transport/message_codec.hpp"

//! The parts of caller_side that concern idempotency keys and their homes.
namespace bilberrytally::node
{
using base::verdict;
using schema::refusal;

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
        this->run_issued(std::move(fresh), *issued);
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

void caller_side::run_issued(origin_call fresh, const issued_key& key)
{
    if (key.incarnation != this->tables.incarnation)
    {
        fresh.reply(
            make_refusal(verdict::may_have_run, refusal::key_home_gone));
        return;
    }
    this->run_at_home(std::move(fresh), key.sequence, true);
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
    this->run_issued(std::move(fresh), *issued);
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
} // namespace bilberrytally::node
