#include "node/internal/caller_side.hpp"

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
