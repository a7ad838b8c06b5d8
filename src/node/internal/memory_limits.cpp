#include "node/internal/memory_limits.hpp"

#include <algorithm>

namespace bilberrytally::node
{
namespace
{
constexpr std::uint64_t bytes_per_mb = 1U << 20U;
//! Part of the machine's memory that callers may use up: a quarter, as for each
//! use in decisions/memory_shares.
constexpr std::uint64_t caller_memory_divisor = 4;
//! Half of the descriptors is for callers' connections; the rest is for files,
//! the backend server, the metadata store and other nodes.
constexpr std::uint64_t caller_descriptors_divisor = 2;
//! Part of the machine's memory for each of the pools of responses that
//! caller.max_held_bytes bounds: a fifth, or the largest response.
constexpr std::uint64_t response_memory_divisor = 5;
} // namespace

std::uint64_t machine_bytes(const schema::node_settings& settings)
{
    return settings.caller.memory_mb * bytes_per_mb;
}

schema::node_settings fit_memory(schema::node_settings settings)
{
    auto& caller = settings.caller;
    if (caller.memory_mb > 0)
    {
        const auto share = std::max<std::uint64_t>(
            machine_bytes(settings) / response_memory_divisor,
            caller.max_answer_bytes);
        caller.max_held_bytes = static_cast<std::uint32_t>(
            std::min<std::uint64_t>(caller.max_held_bytes, share));
    }
    return settings;
}

http::connection_limits client_limits(const schema::node_settings& settings)
{
    const auto& caller = settings.caller;
    http::connection_limits limits;
    if (caller.memory_mb > 0)
    {
        limits.max_held_bytes = machine_bytes(settings) / caller_memory_divisor;
        limits.request_timeout = {caller.read_timeout_ms};
    }
    limits.max_connections =
        caller.max_descriptors / caller_descriptors_divisor;
    limits.head_timeout = {caller.head_timeout_ms};
    return limits;
}

http::client_limits response_limits(const schema::node_settings& settings)
{
    http::client_limits limits;
    limits.max_answer_bytes = settings.caller.max_answer_bytes;
    limits.max_held_bytes = settings.caller.max_held_bytes;
    return limits;
}
} // namespace bilberrytally::node
