#include "decisions/response_memory.hpp"

namespace bilberrytally::decisions
{
namespace
{
//! Responses up to this size are always held.
constexpr std::uint64_t small_response_bytes = 64U << 10U;
} // namespace

response_memory::response_memory(std::uint64_t limit) : limit(limit)
{
}

std::optional<std::uint64_t>
response_memory::reserve(const std::string& group, std::uint64_t held)
{
    const auto expected = this->last_large.find(group);
    if (expected == this->last_large.end())
    {
        return 0;
    }
    // A response over the limit is let on alone; has_room() decides about it.
    const bool alone = held == 0 && this->reserved == 0;
    if (!alone && held + this->reserved + expected->second > this->limit)
    {
        return std::nullopt;
    }
    this->reserved += expected->second;
    return expected->second;
}

void response_memory::release(std::uint64_t bytes)
{
    this->reserved -= bytes;
}

void response_memory::on_response(const std::string& group, std::uint64_t bytes)
{
    if (bytes > small_response_bytes)
    {
        this->last_large[group] = bytes;
        return;
    }
    this->last_large.erase(group);
}

bool response_memory::has_room(std::uint64_t bytes, std::uint64_t held) const
{
    return bytes <= small_response_bytes || held + bytes <= this->limit;
}
} // namespace bilberrytally::decisions
