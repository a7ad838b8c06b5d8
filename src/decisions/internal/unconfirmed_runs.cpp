#include "decisions/unconfirmed_runs.hpp"

namespace bilberrytally::decisions
{
namespace
{
//! A crash is noticed within this time: by the next call, or by the check after
//! a lost connection.
constexpr base::duration_ms suspicion_time{500};
//! Bound of the number of requests; the oldest are dropped.
constexpr std::size_t max_runs = 64;
} // namespace

void unconfirmed_runs::add(std::uint64_t fingerprint, base::time_ms now)
{
    this->runs.push_back({fingerprint, now});
    if (this->runs.size() > max_runs)
    {
        this->runs.pop_front();
    }
}

std::set<std::uint64_t> unconfirmed_runs::take_suspects(base::time_ms now)
{
    std::set<std::uint64_t> suspects;
    for (const auto& item : this->runs)
    {
        if (now - item.ended <= suspicion_time)
        {
            suspects.insert(item.fingerprint);
        }
    }
    this->runs.clear();
    return suspects;
}
} // namespace bilberrytally::decisions
