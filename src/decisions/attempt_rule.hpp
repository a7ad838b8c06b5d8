#pragma once

#include "base/verdict.hpp"
#include "schema/messages.hpp"

#include <cstdint>

namespace bilberrytally::decisions
{
//! Outcomes of the attempts of one request so far.
struct attempt_history
{
    //! Number of attempts that may have reached a backend server.
    std::uint32_t arrivals{0};
    //! Number of attempts that a node refused before its backend server saw
    //! them.
    std::uint32_t refusals{0};

    bool operator==(const attempt_history&) const = default;
};

//! Limits on the attempts of a request.
struct attempt_limits
{
    //! True if the request is idempotent and may run more than once.
    bool repeatable{false};
    //! Maximum number of attempts that may reach a backend server.
    std::uint32_t max_attempts{1};

    bool operator==(const attempt_limits&) const = default;
};

//! What to do after an attempt.
enum class next_step
{
    finish,           //!< Return this outcome to the caller.
    try_other_target, //!< Try another target; no backend server saw the
                      //!< request.
    retry, //!< Try another target if the fleet's retry budget has room.
};

//! True if the attempt that returned this answer may have reached a backend
//! server.
bool may_have_arrived(const schema::answer& answer);

//! Decides what to do after an attempt of a request, in a fleet whose calls
//! pass no context, such as a retry budget, along a chain. Keeps retries from
//! multiplying along a chain: a failure that a nested call caused was already
//! retried there and is not retried here.
next_step after_attempt(
    const schema::answer& answer, const attempt_limits& limits,
    const attempt_history& history);
} // namespace bilberrytally::decisions
