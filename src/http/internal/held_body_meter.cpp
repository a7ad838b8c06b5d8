#include "http/internal/held_body_meter.hpp"

#include <algorithm>
#include <utility>

namespace bilberrytally::http
{
held_body_meter::held_body_meter(
    std::uint64_t limit, std::function<std::uint64_t()> room)
    : limit(limit), room(std::move(room))
{
}

void held_body_meter::update(std::uint64_t before, std::uint64_t after)
{
    this->bytes += after - before;
    if (before == 0 && after > 0)
    {
        ++this->holders;
    }
    if (before > 0 && after == 0)
    {
        --this->holders;
    }
}

std::uint64_t held_body_meter::allowed() const
{
    return this->room ? std::min(this->limit, this->room()) : this->limit;
}

bool held_body_meter::is_over() const
{
    return this->bytes > this->allowed();
}

bool held_body_meter::must_end(std::uint64_t own) const
{
    const auto sharing = std::max<std::uint64_t>(this->holders, 1);
    const auto most = this->allowed();
    return this->bytes > most && own > most / sharing;
}

std::uint64_t held_body_meter::total() const
{
    return this->bytes;
}
} // namespace bilberrytally::http
