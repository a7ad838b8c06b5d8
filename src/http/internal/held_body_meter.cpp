#include "http/internal/held_body_meter.hpp"

#include <algorithm>

namespace bilberrytally::http
{
held_body_meter::held_body_meter(std::uint64_t limit) : limit(limit)
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

bool held_body_meter::must_end(std::uint64_t own) const
{
    const auto sharing = std::max<std::uint64_t>(this->holders, 1);
    return this->bytes > this->limit && own > this->limit / sharing;
}

std::uint64_t held_body_meter::total() const
{
    return this->bytes;
}
} // namespace bilberrytally::http
