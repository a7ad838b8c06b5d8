#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace bilberrytally::decisions
{
//! What nested calls inherit from the call that causes them, their parent.
struct call_context
{
    //! Id of the root request of the call graph.
    std::uint64_t root{0};
    //! Number of calls above the call.
    std::uint32_t depth{0};
    std::uint32_t priority{0};
    base::time_ms deadline;
    //! An earlier attempt of the call or of one above it may have run.
    bool rerun{false};
    //! Workspace of the root request; empty for none.
    std::string workspace;
    //! Id of the access key that the call was sent with; 0 for none.
    std::uint64_t key_id{0};
    //! Version of the configuration by which the key was accepted; 0 for none.
    std::uint64_t configuration_version{0};

    bool operator==(const call_context&) const = default;
};

//! Contexts of calls that the backend server may still run although this
//! process does not serve them: they have ended here without its response, or
//! an earlier process of the node passed them on. By the id of the request.
class call_contexts
{
public:
    //! Beyond \p capacity the context that lapses first is dropped.
    explicit call_contexts(std::size_t capacity);

    //! Keeps the context of a call that has been answered. The nested calls
    //! that the backend server sent before its response may still be on their
    //! way.
    void keep_answered(
        const std::string& request, const call_context& context,
        base::time_ms now);
    //! Keeps the context of a call that the backend server may run until its
    //! deadline.
    void keep_unanswered(
        const std::string& request, const call_context& context,
        base::time_ms now);

    //! The context of a call; nothing if none is kept.
    std::optional<call_context>
    find(const std::string& request, base::time_ms now) const;

    //! True if a context may be missing because it was dropped.
    bool may_lack(base::time_ms now) const;

    std::size_t size() const;

private:
    struct kept_context
    {
        call_context context;
        base::time_ms lapses;
    };

    void
    keep(const std::string& request, kept_context entry, base::time_ms now);
    //! Removes the contexts that have lapsed, and those beyond the capacity.
    void drop(base::time_ms now);

    std::size_t capacity;
    std::unordered_map<std::string, kept_context> contexts;
    std::multimap<base::time_ms, std::string> by_lapse;
    //! Until then a context that was dropped would have been kept.
    base::time_ms complete_from;
};

//! Time after the start of a process during which its backend server may run
//! calls that an earlier process passed on. \p longest_timeout is that of the
//! routes in force.
base::duration_ms unknown_parent_time(base::duration_ms longest_timeout);
} // namespace bilberrytally::decisions
