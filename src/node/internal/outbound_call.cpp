#include "node/internal/outbound_call.hpp"

#include "base/hash.hpp"

namespace bilberrytally::node
{
namespace
{
//! Time after the deadline during which an answer is still awaited, since one
//! that says not_run may be on its way.
constexpr base::duration_ms answer_grace{50};

template <class Map, class Key>
void erase_from_index(Map& index, const Key& key, std::uint64_t id)
{
    const auto found = index.find(key);
    if (found == index.end())
    {
        return;
    }
    found->second.erase(id);
    if (found->second.empty())
    {
        index.erase(found);
    }
}
} // namespace

void outbound_call_table::insert(outbound_call new_call)
{
    const auto id = new_call.id;
    this->by_expiry.emplace(new_call.deadline + answer_grace, id);
    if (new_call.connection != 0)
    {
        this->by_connection[new_call.connection].insert(id);
    }
    if (new_call.parent != 0)
    {
        this->by_parent[new_call.parent].insert(id);
    }
    if (new_call.remote_link != 0)
    {
        this->by_remote_call.emplace(
            std::pair(new_call.remote_link, new_call.remote_call), id);
    }
    this->calls.emplace(id, std::move(new_call));
}

std::optional<outbound_call> outbound_call_table::extract(std::uint64_t id)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end())
    {
        return std::nullopt;
    }
    this->end_primary(found->second);
    this->end_attempt(found->second);
    auto call = std::move(found->second);
    this->calls.erase(found);
    auto [first, last] =
        this->by_expiry.equal_range(call.deadline + answer_grace);
    while (first != last && first->second != id)
    {
        ++first;
    }
    if (first != last)
    {
        this->by_expiry.erase(first);
    }
    erase_from_index(this->by_connection, call.connection, id);
    erase_from_index(this->by_parent, call.parent, id);
    this->by_remote_call.erase({call.remote_link, call.remote_call});
    return call;
}

attempt_state outbound_call::current_attempt() const
{
    return {this->attempt_id,         this->target,
            this->target_start_ms,    this->link,
            this->local_inbound_call, this->dispatched};
}

void outbound_call::set_current_attempt(const attempt_state& state)
{
    this->attempt_id = state.id;
    this->target = state.target;
    this->target_start_ms = state.target_start_ms;
    this->link = state.link;
    this->local_inbound_call = state.local_inbound_call;
    this->dispatched = state.dispatched;
}

void outbound_call_table::end_primary(outbound_call& call)
{
    if (!call.primary)
    {
        return;
    }
    this->attempts.erase(call.primary->id);
    erase_from_index(this->by_link, call.primary->link, call.primary->id);
    call.primary.reset();
}

void outbound_call_table::end_attempt(outbound_call& call)
{
    this->attempts.erase(call.attempt_id);
    erase_from_index(this->by_link, call.link, call.attempt_id);
    call.attempt_id = 0;
    call.local_inbound_call = 0;
}

bool has_attempt_left(const outbound_call& call)
{
    return call.latency_group.empty()
               ? call.budget.left() > 0
               : call.history.arrivals + 1 < call.limits.max_attempts;
}

const std::string& latency_group(const outbound_call& call)
{
    return call.latency_group.empty() ? call.message.service
                                      : call.latency_group;
}

std::uint64_t cost_kind(const outbound_call& call)
{
    const auto size = call.message.body.size();
    if (!call.latency_group.empty())
    {
        return decisions::call_kind(call.latency_group, size);
    }
    const std::string_view path(call.message.path);
    return base::combine(
        base::hash(call.message.method),
        decisions::call_kind(path.substr(0, path.find('?')), size));
}

base::verdict verdict_of(const schema::answer& answer)
{
    return static_cast<base::verdict>(answer.verdict);
}

schema::answer
make_refusal_without_home(const schema::call& call, schema::refusal reason)
{
    const bool first = call.key.empty() || call.send_number == 1;
    return make_refusal(
        first ? base::verdict::not_run : base::verdict::may_have_run, reason);
}
} // namespace bilberrytally::node
