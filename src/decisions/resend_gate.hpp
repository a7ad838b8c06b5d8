#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

namespace bilberrytally::decisions
{
//! Holds back callers that send a refused request again before their
//! Retry-After: such sends pass only as a small share of fresh requests.
class resend_gate
{
public:
    //! True if the request may go on. A request that was not refused lately
    //! is fresh and always passes.
    bool
    allow(std::uint64_t digest, const std::string& service, base::time_ms now);

    //! The request was refused for overload; returns its Retry-After, spread
    //! over some seconds.
    base::duration_ms on_refusal(std::uint64_t digest, base::time_ms now);

private:
    void forget_old(base::time_ms now);

    std::unordered_map<std::uint64_t, base::time_ms> refused_until;
    std::deque<std::pair<base::time_ms, std::uint64_t>> by_age;
    std::unordered_map<std::string, double> tokens;
};
} // namespace bilberrytally::decisions
