#pragma once

#include "decisions/call_contexts.hpp"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace bilberrytally::decisions
{
//! Where the node of a target listens for other nodes.
struct node_address
{
    std::string host;
    std::uint32_t port{0};

    auto operator<=>(const node_address&) const = default;
};

//! A call that was sent to a target.
struct unanswered_call
{
    std::string service;
    //! Id of the request, by which the target's nested calls name it.
    std::string request;
    call_context context;

    bool operator==(const unanswered_call&) const = default;
};

//! Calls whose answer this node has lost with the connection to the node of
//! their target. That node may have been restarted while its backend server
//! still runs them, so it is told of them once it is connected again.
class unanswered_calls
{
public:
    void add(const node_address& node, unanswered_call call);

    //! The calls sent to this node whose deadline is not over.
    std::vector<unanswered_call>
    sent_to(const node_address& node, base::time_ms now);

private:
    struct entry
    {
        node_address node;
        unanswered_call call;
    };

    //! Oldest first.
    std::deque<entry> entries;
};
} // namespace bilberrytally::decisions
