#include "decisions/unanswered_calls.hpp"

#include <utility>

namespace bilberrytally::decisions
{
namespace
{
//! Bound of the number of calls; the oldest are dropped.
constexpr std::size_t max_calls = 4096;
} // namespace

void unanswered_calls::add(const node_address& node, unanswered_call call)
{
    this->entries.push_back({node, std::move(call)});
    if (this->entries.size() > max_calls)
    {
        this->entries.pop_front();
    }
}

std::vector<unanswered_call>
unanswered_calls::sent_to(const node_address& node, base::time_ms now)
{
    std::erase_if(
        this->entries,
        [&](const entry& item) { return item.call.context.deadline <= now; });
    std::vector<unanswered_call> calls;
    for (const auto& item : this->entries)
    {
        if (item.node == node)
        {
            calls.push_back(item.call);
        }
    }
    return calls;
}
} // namespace bilberrytally::decisions
