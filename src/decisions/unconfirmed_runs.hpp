#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <deque>
#include <set>

namespace bilberrytally::decisions
{
//! Requests that stopped running at the backend server without a response: it
//! closed the connection, or the call was cancelled. Whether such a request
//! crashed the backend server is known only once the server is seen down, which
//! may be a moment later: an exiting process may close its connections before
//! its listening socket, and one that was sent a cancelled request runs on for
//! a while.
class unconfirmed_runs
{
public:
    //! Records that the request with this fingerprint ended without a response.
    void add(std::uint64_t fingerprint, base::time_ms now);

    //! Removes all requests and returns those that ended so recently that they
    //! may have caused a crash which is noticed now.
    std::set<std::uint64_t> take_suspects(base::time_ms now);

private:
    struct run
    {
        std::uint64_t fingerprint{0};
        base::time_ms ended;
    };

    //! Oldest first.
    std::deque<run> runs;
};
} // namespace bilberrytally::decisions
