#pragma once

#include "base/guarded.hpp"
#include "base/verdict.hpp"

#include <boost/circular_buffer.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace bilberrytally::timeline
{
//! Hybrid logical time: wall milliseconds in the upper 48 bits, a counter in
//! the lower 16. Orders events causally over all nodes.
using logical_time = std::uint64_t;

//! One event of a node.
struct event
{
    logical_time time{0};
    //! Kind of the event, e.g. dispatch, refuse, ticket.
    std::string kind;
    //! Root request id; 0 where no request is concerned.
    std::uint64_t root{0};
    //! Call id; 0 where no call is concerned.
    std::uint64_t call{0};
    //! Service or peer concerned.
    std::string subject;
    //! Further text, key=value.
    std::string detail;

    auto operator<=>(const event&) const = default;
};

//! Bounded ring of the latest events of a node with its logical clock.
class timeline
{
public:
    explicit timeline(std::size_t capacity);

    //! Advances the clock and returns the new time.
    logical_time tick();

    //! Takes in the time of a received message.
    void observe(logical_time received);

    //! Records an event at a new time.
    void record(event entry);

    //! Events after \p after, oldest first, at most \p most.
    std::vector<event> read(logical_time after, std::size_t most);

private:
    struct state
    {
        logical_time last{0};
        boost::circular_buffer<event> ring;
    };

    static logical_time next(state& current);

    //! Rank 90 in the lock order: the innermost lock.
    base::guarded<state, 90> current;
};
} // namespace bilberrytally::timeline
