#include "decisions/memory_shares.hpp"

#include <algorithm>

namespace bilberrytally::decisions
{
namespace
{
//! Parts of the machine's memory: for all uses, for one, and what each keeps.
constexpr std::uint64_t all_uses_divisor = 2;
constexpr std::uint64_t one_use_divisor = 4;
constexpr std::uint64_t least_share_divisor = 32;
//! What small messages get beside the share.
constexpr std::uint64_t small_reserve_divisor = 64;
//! Up to this part of it the machine's memory counts as hardly used.
constexpr std::uint64_t hardly_used_divisor = 16;
constexpr std::uint64_t small_message_bytes = 16U << 10U;
} // namespace

std::uint64_t held_bytes::total() const
{
    return this->clients + this->calls + this->responses + this->answers;
}

std::uint64_t held_bytes::of(memory_use use) const
{
    switch (use)
    {
    case memory_use::clients:
        return this->clients;
    case memory_use::calls:
        return this->calls;
    case memory_use::responses:
        return this->responses;
    case memory_use::answers:
        return this->answers;
    }
    return 0;
}

memory_shares::memory_shares(std::uint64_t machine_bytes)
    : machine_bytes(machine_bytes)
{
}

std::uint64_t memory_shares::least_share() const
{
    return this->machine_bytes / least_share_divisor;
}

bool memory_shares::is_hardly_used(std::uint64_t bytes) const
{
    return bytes <= this->machine_bytes / hardly_used_divisor;
}

std::uint64_t memory_shares::room(memory_use use, const held_bytes& held) const
{
    if (this->machine_bytes == 0)
    {
        return UINT64_MAX;
    }
    const auto others = held.total() - held.of(use);
    const auto for_all = this->machine_bytes / all_uses_divisor;
    const auto left = for_all - std::min(for_all, others);
    return std::clamp(
        left, this->least_share(), this->machine_bytes / one_use_divisor);
}

bool memory_shares::has_room(
    memory_use use, std::uint64_t bytes, const held_bytes& held) const
{
    if (this->machine_bytes == 0)
    {
        return true;
    }
    const auto reserve = bytes <= small_message_bytes
                             ? this->machine_bytes / small_reserve_divisor
                             : 0;
    if (held.of(use) + bytes <= this->room(use, held) + reserve)
    {
        return true;
    }
    return this->is_hardly_used(held.total()) &&
           bytes <= this->machine_bytes / all_uses_divisor;
}

bool memory_shares::allows_large_client(std::uint64_t held_for_others) const
{
    return this->machine_bytes == 0 || this->is_hardly_used(held_for_others);
}
} // namespace bilberrytally::decisions
