#pragma once

#include <cstdint>
#include <mutex>
#include <unordered_map>

namespace bilberrytally::http
{
//! Numbers the requests of each open connection, so that of several pipelined
//! requests only the newest one closes the connection. Thread-safe.
class pipeline_table
{
public:
    //! Number of a request that was just read; starts at 1 in each connection.
    std::uint64_t add(std::uint64_t connection);
    //! True if no request was read behind this one.
    bool is_newest(std::uint64_t connection, std::uint64_t request) const;
    //! Forgets a connection that has closed.
    void remove(std::uint64_t connection);

private:
    mutable std::mutex mutex;
    //! Number of the newest request, by connection.
    std::unordered_map<std::uint64_t, std::uint64_t> newest;
};
} // namespace bilberrytally::http
