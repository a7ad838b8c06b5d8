#include "http/internal/pipeline_table.hpp"

namespace bilberrytally::http
{
std::uint64_t pipeline_table::add(std::uint64_t connection)
{
    const std::scoped_lock lock(this->mutex);
    return ++this->newest[connection];
}

bool pipeline_table::is_newest(
    std::uint64_t connection, std::uint64_t request) const
{
    const std::scoped_lock lock(this->mutex);
    const auto found = this->newest.find(connection);
    return found == this->newest.end() || found->second == request;
}

void pipeline_table::remove(std::uint64_t connection)
{
    const std::scoped_lock lock(this->mutex);
    this->newest.erase(connection);
}
} // namespace bilberrytally::http
