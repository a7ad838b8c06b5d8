#include "decisions/call_contexts.hpp"

#include <algorithm>
#include <utility>

namespace bilberrytally::decisions
{
namespace
{
//! A nested call that was sent before the response to its parent is read within
//! this time.
constexpr base::duration_ms late_nested_call_time{2000};
//! After its deadline a call has no use of nested calls. Those that still come
//! are refused for their deadline, not for an unknown parent.
constexpr base::duration_ms overrun_time{10000};
//! Routes may have had longer time-outs before those in force.
constexpr base::duration_ms min_unknown_parent_time{10000};
//! Bound for routes with a very long time-out or without one.
constexpr base::duration_ms max_unknown_parent_time{60000};
} // namespace

call_contexts::call_contexts(std::size_t capacity) : capacity(capacity)
{
}

void call_contexts::keep_answered(
    const std::string& request, const call_context& context, base::time_ms now)
{
    this->keep(request, {context, now + late_nested_call_time}, now);
}

void call_contexts::keep_unanswered(
    const std::string& request, const call_context& context, base::time_ms now)
{
    this->keep(request, {context, context.deadline + overrun_time}, now);
}

void call_contexts::keep(
    const std::string& request, kept_context entry, base::time_ms now)
{
    const auto lapses = entry.lapses;
    auto& kept = this->contexts[request];
    if (kept.lapses < lapses)
    {
        kept = std::move(entry);
        this->by_lapse.emplace(lapses, request);
    }
    this->drop(now);
}

void call_contexts::drop(base::time_ms now)
{
    while (!this->by_lapse.empty())
    {
        const auto first = this->by_lapse.begin();
        const bool lapsed = first->first <= now;
        if (!lapsed && this->contexts.size() <= this->capacity)
        {
            return;
        }
        const auto found = this->contexts.find(first->second);
        // A context that was kept again has a later entry in the index.
        if (found != this->contexts.end() &&
            found->second.lapses == first->first)
        {
            this->contexts.erase(found);
            this->complete_from = std::max(this->complete_from, first->first);
        }
        this->by_lapse.erase(first);
    }
}

std::optional<call_context>
call_contexts::find(const std::string& request, base::time_ms now) const
{
    const auto found = this->contexts.find(request);
    if (found == this->contexts.end() || found->second.lapses <= now)
    {
        return std::nullopt;
    }
    return found->second.context;
}

bool call_contexts::may_lack(base::time_ms now) const
{
    return now < this->complete_from;
}

std::size_t call_contexts::size() const
{
    return this->contexts.size();
}

base::duration_ms unknown_parent_time(base::duration_ms longest_timeout)
{
    return std::clamp(
        longest_timeout, min_unknown_parent_time, max_unknown_parent_time);
}
} // namespace bilberrytally::decisions
