#pragma once

#include "base/guarded.hpp"
#include "base/verdict.hpp"

#include <boost/circular_buffer.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace bilberrytally::timeline
{
//! Hybrid logical clock value: wall-clock milliseconds in the upper 48 bits, a
//! counter in the lower 16 bits. Orders events causally across all nodes.
using logical_time = std::uint64_t;

//! An event recorded by a node.
struct event
{
    //! Set by timeline::record().
    logical_time time{0};
    //! Kind of the event, e.g. dispatch, refuse, ticket.
    std::string kind;
    //! Id of the root request; 0 if the event is not about a request.
    std::uint64_t root{0};
    //! Id of the call; 0 if the event is not about a call.
    std::uint64_t call{0};
    //! Service or peer that the event is about.
    std::string subject;
    //! Further details as key=value pairs.
    std::string detail;

    auto operator<=>(const event&) const = default;
};

//! The hybrid logical clock of a node and a ring buffer of its latest events.
//! Safe for use by several threads.
class timeline
{
public:
    //! Keeps the latest \p capacity events.
    explicit timeline(std::size_t capacity);

    //! Advances the clock and returns the new time.
    logical_time tick();

    //! Advances the clock to at least the time of a received message.
    void observe(logical_time received);

    //! Advances the clock and records an event at the new time.
    void record(event entry);

    //! Returns the first \p max_count events later than \p after, oldest first.
    std::vector<event> read(logical_time after, std::size_t max_count);

private:
    struct state
    {
        logical_time last_time{0};
        boost::circular_buffer<event> latest_events;
    };

    static logical_time advance(state& current);

    //! Lock rank 90: the innermost lock.
    base::guarded<state, 90> guarded_state;
};
} // namespace bilberrytally::timeline
