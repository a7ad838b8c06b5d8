#include "node/internal/origin_call.hpp"

namespace bilberrytally::node
{
namespace
{
//! An answer that says not_run may still be on its way at the deadline.
constexpr base::duration_ms answer_grace{50};

template <class Map, class Key>
void erase_member(Map& index, const Key& key, std::uint64_t id)
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

void origin_table::insert(origin_call fresh)
{
    const auto id = fresh.id;
    this->by_deadline.emplace(fresh.deadline + answer_grace, id);
    if (fresh.connection != 0)
    {
        this->by_connection[fresh.connection].insert(id);
    }
    if (fresh.parent != 0)
    {
        this->by_parent[fresh.parent].insert(id);
    }
    if (fresh.home_link != 0)
    {
        this->by_home_call.emplace(
            std::pair(fresh.home_link, fresh.home_call), id);
    }
    this->calls.emplace(id, std::move(fresh));
}

std::optional<origin_call> origin_table::extract(std::uint64_t id)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end())
    {
        return std::nullopt;
    }
    this->end_earlier(found->second);
    this->end_attempt(found->second);
    auto call = std::move(found->second);
    this->calls.erase(found);
    auto [first, last] =
        this->by_deadline.equal_range(call.deadline + answer_grace);
    while (first != last && first->second != id)
    {
        ++first;
    }
    if (first != last)
    {
        this->by_deadline.erase(first);
    }
    erase_member(this->by_connection, call.connection, id);
    erase_member(this->by_parent, call.parent, id);
    this->by_home_call.erase({call.home_link, call.home_call});
    return call;
}

attempt_state origin_call::present() const
{
    return {
        this->attempt, this->target, this->link, this->local_serving,
        this->dispatched};
}

void origin_call::make_present(const attempt_state& state)
{
    this->attempt = state.attempt;
    this->target = state.target;
    this->link = state.link;
    this->local_serving = state.local_serving;
    this->dispatched = state.dispatched;
}

void origin_table::end_earlier(origin_call& call)
{
    if (!call.earlier)
    {
        return;
    }
    this->attempts.erase(call.earlier->attempt);
    erase_member(this->by_link, call.earlier->link, call.earlier->attempt);
    call.earlier.reset();
}

void origin_table::end_attempt(origin_call& call)
{
    this->attempts.erase(call.attempt);
    erase_member(this->by_link, call.link, call.attempt);
    call.attempt = 0;
    call.local_serving = 0;
}

bool has_attempt_left(const origin_call& call)
{
    return call.latency_group.empty()
               ? call.budget.left() > 0
               : call.history.arrivals + 1 < call.limits.max_attempts;
}

const std::string& latency_group(const origin_call& call)
{
    return call.latency_group.empty() ? call.call.service : call.latency_group;
}

base::verdict verdict_of(const schema::answer& answer)
{
    return static_cast<base::verdict>(answer.verdict);
}

schema::answer
refuse_before_home(const schema::call& call, schema::refusal reason)
{
    const bool first = call.key.empty() || call.send_number == 1;
    return make_refusal(
        first ? base::verdict::not_run : base::verdict::may_have_run, reason);
}
} // namespace bilberrytally::node
