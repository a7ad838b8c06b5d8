#include "base/hash.hpp"
#include "node/internal/caller_side.hpp"
#include "node/internal/issued_key.hpp"
#include "transport/message_codec.hpp"

// The parts of caller_side that handle idempotency keys. The home of a key is
// the node that holds its record: the issuing node for an issued key, for a
// client-supplied key the node to which rendezvous hashing maps it.
namespace bilberrytally::node
{
using base::verdict;
using schema::refusal;

void caller_side::route_by_key(outbound_call new_call)
{
    const auto& local_node = this->tables.settings.node;
    const auto& key = new_call.message.key;
    if (issued_key::has_issued_prefix(key))
    {
        const auto issued = issued_key::parse(key, local_node.key);
        if (!issued)
        {
            new_call.reply(
                make_refusal(verdict::not_run, refusal::key_unknown));
            return;
        }
        const bool here = issued->host == local_node.address &&
                          issued->port == local_node.node_port;
        if (!here)
        {
            this->send_to_key_home(
                std::move(new_call), {"", issued->host, issued->port});
            return;
        }
        this->run_with_issued_key(std::move(new_call), *issued);
        return;
    }
    std::optional<decisions::target_address> home;
    this->tables.with_targets(
        new_call.message.service, [&](auto& targets, routing_table&)
        { home = targets.owner(base::hash(key)); });
    if (!home)
    {
        new_call.reply(
            make_refusal_without_home(new_call.message, refusal::no_target));
        return;
    }
    if (home->instance == local_node.instance)
    {
        this->run_as_key_home(std::move(new_call), 0, false);
        return;
    }
    this->send_to_key_home(std::move(new_call), *home);
}

void caller_side::send_to_key_home(
    outbound_call new_call, const decisions::target_address& home)
{
    new_call.destination = destination_kind::home;
    new_call.fixed_target = home;
    new_call.message.home = true;
    this->start_call(std::move(new_call));
}

void caller_side::run_with_issued_key(
    outbound_call new_call, const issued_key& key)
{
    if (key.incarnation != this->tables.incarnation)
    {
        new_call.reply(
            make_refusal(verdict::may_have_run, refusal::key_home_gone));
        return;
    }
    this->run_as_key_home(std::move(new_call), key.sequence, true);
}

void caller_side::run_as_key_home(
    outbound_call new_call, std::uint64_t sequence, bool issued)
{
    const decisions::keyed_send send{
        new_call.message.key, new_call.message.service, new_call.message.digest,
        new_call.message.send_number};
    const auto now = base::now();
    const auto decision = this->tables.keys.with(
        [&](auto& records)
        {
            auto result = issued ? records.on_issued(sequence, send, now)
                                 : records.on_client_key(send, now);
            if (std::holds_alternative<decisions::join_running>(result))
            {
                this->outbound_calls.with(
                    [&](outbound_call_table& table)
                    {
                        table.waiting_sends[send.service + '/' + send.key]
                            .push_back(new_call.reply);
                    });
            }
            return result;
        });
    if (std::holds_alternative<decisions::run_now>(decision))
    {
        new_call.recorded_send = send;
        this->start_call(std::move(new_call));
    }
    else if (
        const auto* recorded =
            std::get_if<decisions::answer_recorded>(&decision))
    {
        this->tables.node_metrics.on_event("answered_from_record");
        new_call.reply(recorded->answer);
    }
    else if (
        const auto* refused = std::get_if<decisions::refuse_send>(&decision))
    {
        new_call.reply(make_refusal(refused->verdict, refused->reason));
    }
}

void caller_side::on_home_call(received_call received)
{
    const auto link = received.link;
    auto& call = received.message;
    outbound_call new_call;
    new_call.id = base::random_bits();
    new_call.started = base::now();
    new_call.deadline = new_call.started +
                        base::duration_ms{call.remaining_ms} - received.delay;
    new_call.budget = decisions::request_retry_budget(call.budget);
    new_call.remote_link = link;
    new_call.remote_call = call.id;
    const auto remote = call.id;
    const auto digest = call.digest;
    new_call.reply = [this, link, remote, digest](schema::answer answer)
    {
        answer.id = remote;
        answer.digest = digest;
        answer.load = {};
        base::shared_text body(std::move(answer.body));
        this->network->send(
            link, {transport::frame_kind::answer, transport::encode(answer),
                   std::move(body), remote, nullptr});
    };
    call.home = false;
    new_call.message = std::move(call);
    new_call.held = std::move(received.held);
    if (!this->take_while_stopping(new_call))
    {
        this->refuse_stopping(new_call);
        return;
    }
    const auto& local_node = this->tables.settings.node;
    if (!issued_key::has_issued_prefix(new_call.message.key))
    {
        this->run_as_key_home(std::move(new_call), 0, false);
        return;
    }
    const auto issued = issued_key::parse(new_call.message.key, local_node.key);
    if (!issued)
    {
        new_call.reply(make_refusal(verdict::not_run, refusal::key_unknown));
        return;
    }
    this->run_with_issued_key(std::move(new_call), *issued);
}

void caller_side::complete_key(
    const outbound_call& call, const schema::answer& answer)
{
    if (!call.recorded_send)
    {
        return;
    }
    std::vector<answer_handler> waiting;
    this->tables.keys.with(
        [&](auto& records)
        {
            records.finish(*call.recorded_send, answer);
            this->outbound_calls.with(
                [&](outbound_call_table& table)
                {
                    const auto found = table.waiting_sends.find(
                        call.recorded_send->service + '/' +
                        call.recorded_send->key);
                    if (found != table.waiting_sends.end())
                    {
                        waiting = std::move(found->second);
                        table.waiting_sends.erase(found);
                    }
                });
        });
    for (const auto& reply : waiting)
    {
        reply(answer);
    }
}
} // namespace bilberrytally::node
