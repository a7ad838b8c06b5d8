#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

namespace bilberrytally::decisions
{
//! Limits callers that send a refused request again before the time in its
//! Retry-After. Such resends pass only as a small share of new requests,
//! counted by a token bucket for each service.
class resend_limiter
{
public:
    //! True if the request may go on. A request that was not refused recently
    //! is new and always passes; a resend passes if it gets a token.
    bool
    allow(std::uint64_t digest, const std::string& service, base::time_ms now);

    //! Records that the request was refused for overload. Returns its
    //! Retry-After, 1 to 3 s with jitter.
    base::duration_ms on_refusal(std::uint64_t digest, base::time_ms now);

private:
    void drop_expired(base::time_ms now);

    std::unordered_map<std::uint64_t, base::time_ms> refused_until;
    std::deque<std::pair<base::time_ms, std::uint64_t>> by_age;
    std::unordered_map<std::string, double> tokens;
};
} // namespace bilberrytally::decisions
