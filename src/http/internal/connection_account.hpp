#pragma once

#include "base/time.hpp"
#include "http/http_server.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_set>
#include <utility>
#include <vector>

namespace bilberrytally::http
{
//! Counts the memory that the open connections of a process make it hold, and
//! closes those with the least progress for their bytes when a limit is
//! exceeded. Does no I/O: a connection is closed by a function of its owner.
//! Thread-safe.
class connection_account
{
public:
    class entry;
    using entry_ptr = std::shared_ptr<entry>;
    using close_function = std::function<void()>;

    //! Bytes that a request or a response adds until it is released.
    class charge
    {
    public:
        charge(entry_ptr owner, std::uint64_t bytes, bool running);
        ~charge();
        charge(const charge&) = delete;
        charge& operator=(const charge&) = delete;

    private:
        entry_ptr owner;
        std::uint64_t bytes;
        bool running;
    };

    //! The part of a request that is being read.
    enum class phase
    {
        idle, //!< Nothing of the next request was read.
        head,
        body,
    };

    //! One connection. The parsing functions are called by one thread at a
    //! time; what they count takes effect with settle().
    class entry : public std::enable_shared_from_this<entry>
    {
    public:
        entry(connection_account& account, close_function close);

        void begin_message();
        void begin_body();
        //! Adds memory that the unfinished request takes.
        void add_parsed(std::uint64_t bytes);
        //! Counts bytes that were received or sent.
        void add_moved(std::uint64_t bytes);
        //! Enters what was counted into the account.
        void settle(base::time_ms now);
        //! The request is complete. Returns the charge for it, which counts as
        //! running until it is released, or null if the request must be
        //! refused; \p bytes is what it takes while it runs.
        std::unique_ptr<charge>
        complete_request(std::uint64_t bytes, base::time_ms now);
        //! The charge for a response until it is written.
        std::unique_ptr<charge> add_response(std::uint64_t bytes);
        //! The socket closes: the close function is not called any more.
        void disarm();
        //! The connection's memory was released; charges stay until theirs is.
        void release();
        //! True if the account has closed the connection.
        bool is_evicted() const;

    private:
        friend class connection_account;

        connection_account& account;
        // Counted by the thread that parses.
        std::uint64_t parsed{0};
        std::uint64_t moved{0};
        phase parsing{phase::idle};
        bool phase_changed{false};
        // Under the account's mutex.
        close_function close;
        std::uint64_t held{0};
        std::uint64_t entered_parsed{0};
        //! Bytes moved since \c progress_at.
        std::uint64_t unmarked{0};
        std::uint64_t running{0};
        phase entered_phase{phase::idle};
        base::time_ms phase_since;
        base::time_ms progress_at;
        std::atomic<bool> evicted{false};
        bool released{false};
    };

    void set_limits(const connection_limits& limits);

    //! Adds a connection that \p close closes; \p close is called with the
    //! account's lock held and must not call the account.
    entry_ptr open(close_function close, base::time_ms now);

    //! Closes connections whose unfinished request has exceeded its time.
    void check(base::time_ms now);

    connection_usage usage() const;

private:
    void update_held(entry& changed, std::uint64_t add, std::uint64_t remove);
    void enforce_limits(base::time_ms now);
    //! Bytes that count towards the limit. One connection may hold most of it
    //! and more, so that a single large request is always served.
    std::uint64_t counted_bytes() const;
    void evict(entry& victim);
    //! Connections without a running request, those with the least progress
    //! for their bytes last.
    std::vector<entry*> by_progress(base::time_ms now) const;
    //! Connections with running requests, the largest last.
    std::vector<entry*> running_by_bytes() const;
    static std::vector<entry*>
    sorted(std::vector<std::pair<std::uint64_t, entry*>> scored);
    void evict_while_over(const std::vector<entry*>& candidates);
    bool is_over(std::uint64_t bytes, std::uint64_t connections) const;

    mutable std::mutex mutex;
    connection_limits limits;
    connection_usage counts;
    //! The connection whose bytes count only in part; may be null.
    entry* largest{nullptr};
    std::unordered_set<entry*> open_entries;
    base::time_ms last_limited;
};
} // namespace bilberrytally::http
