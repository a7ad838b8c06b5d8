#include "node/internal/caller_side.hpp"
#include "node/internal/http_mapping.hpp"
#include "transport/message_codec.hpp"

#include <utility>
#include <vector>

// The parts of caller_side that bound what it takes: by the end of this process
// in a planned stop, and by memory.
namespace bilberrytally::node
{
using base::verdict;
using schema::refusal;

bool caller_side::take_while_stopping(outbound_call& call) const
{
    const auto latest = this->tables.latest_deadline();
    if (call.deadline <= latest)
    {
        return true;
    }
    if (call.parent == 0)
    {
        return false;
    }
    call.deadline = latest;
    return latest > base::now();
}

void caller_side::refuse_stopping(const outbound_call& call)
{
    this->tables.record_event(
        {0, "refused_while_stopping", call.message.root, call.id,
         call.message.service, ""});
    if (call.parent != 0)
    {
        this->targets.return_budget(call.parent, call.budget.left(), 0);
    }
    call.reply(make_refusal_without_home(call.message, refusal::draining));
}

void caller_side::recall_waiting(base::time_ms latest_deadline)
{
    std::vector<attempt_state> attempts;
    this->outbound_calls.with(
        [&](outbound_call_table& table)
        {
            for (auto& [id, call] : table.calls)
            {
                if (call.deadline <= latest_deadline)
                {
                    continue;
                }
                call.recalled = true;
                attempts.push_back(call.current_attempt());
                if (call.primary)
                {
                    attempts.push_back(*call.primary);
                }
            }
        });
    this->tables.record_event(
        {0, "recall", 0, 0, "", "attempts=" + std::to_string(attempts.size())});
    for (const auto& attempt : attempts)
    {
        this->recall(attempt);
    }
}

void caller_side::recall(const attempt_state& attempt)
{
    if (attempt.local_inbound_call != 0)
    {
        this->targets.recall(attempt.local_inbound_call);
    }
    else if (attempt.id != 0 && attempt.link != 0)
    {
        this->network->send(
            attempt.link, transport::frame_kind::cancel,
            transport::encode(schema::cancel{attempt.id, true}));
    }
}

void caller_side::answer_all()
{
    std::vector<std::pair<std::uint64_t, verdict>> open_calls;
    std::vector<quota_wait> quota_waits;
    std::vector<parent_wait> parent_waits;
    this->outbound_calls.with(
        [&](outbound_call_table& table)
        {
            for (const auto& [id, call] : table.calls)
            {
                open_calls.emplace_back(
                    id, call.dispatches == 0 ? verdict::not_run
                                             : verdict::may_have_run);
            }
            for (auto& [id, wait] : table.quota_waits)
            {
                quota_waits.push_back(std::move(wait));
            }
            table.quota_waits.clear();
            parent_waits = std::exchange(table.parent_waits, {});
        });
    for (const auto& [id, outcome] : open_calls)
    {
        this->complete(id, make_refusal(outcome, refusal::draining));
    }
    for (auto& wait : quota_waits)
    {
        this->make_routed_reply(wait.call, std::move(wait.respond))(
            make_refusal(verdict::not_run, refusal::draining));
    }
    for (auto& wait : parent_waits)
    {
        wait.request.respond(to_routed_response(
            make_refusal(verdict::not_run, refusal::draining),
            base::duration_ms{0}));
    }
}

std::uint64_t caller_side::unread_response_bytes() const
{
    const auto* open_server = this->server.load();
    return open_server == nullptr ? 0 : open_server->unwritten_bytes();
}

void caller_side::drop_if_too_large(schema::answer& answer)
{
    const auto held = this->unread_response_bytes();
    const bool has_room = this->tables.routing.with(
        [&](routing_table& table)
        { return table.responses.has_room(answer.body.size(), held); });
    if (!has_room)
    {
        answer = make_refusal(verdict::may_have_run, refusal::memory);
    }
}
} // namespace bilberrytally::node
