#include "node/internal/memory_account.hpp"

#include "http/http_server.hpp"

#include <algorithm>
#include <utility>

namespace bilberrytally::node
{
using decisions::memory_use;

memory_account::memory_account(
    asio::io_context& context, std::uint64_t machine_bytes)
    : context(context), shares(machine_bytes),
      counted(std::make_shared<counters>()),
      unfinished_responses([] { return 0; })
{
}

void memory_account::set_unfinished_responses(
    std::function<std::uint64_t()> bytes)
{
    this->unfinished_responses = std::move(bytes);
}

std::atomic<std::uint64_t>&
memory_account::counter_of(counters& all, memory_use use)
{
    switch (use)
    {
    case memory_use::answers:
        return all.answers;
    case memory_use::responses:
        return all.responses;
    default:
        return all.calls;
    }
}

transport::held_memory
memory_account::reserve(memory_use use, std::uint64_t bytes)
{
    return this->shares.has_room(use, bytes, this->held())
               ? this->hold(use, bytes)
               : nullptr;
}

transport::held_memory memory_account::hold(memory_use use, std::uint64_t bytes)
{
    auto& counter = counter_of(*this->counted, use);
    counter += bytes;
    return {&counter, [all = this->counted, &counter, bytes](void*) {
                counter -= bytes;
            }};
}

std::uint64_t memory_account::room_for_unfinished_responses() const
{
    // Those that wait for other nodes have the same share. Something is left
    // all the same, so that small responses go on.
    const std::uint64_t waiting = this->counted->responses;
    const auto room = this->shares.room(memory_use::responses, this->held());
    return std::max(room - std::min(room, waiting), this->shares.least_share());
}

bool memory_account::allows_large_client() const
{
    return this->shares.allows_large_client(this->held_for_others().total());
}

decisions::held_bytes memory_account::held() const
{
    auto all = this->held_for_others();
    all.clients = http::connections_in_use(this->context).held_bytes;
    return all;
}

decisions::held_bytes memory_account::held_for_others() const
{
    decisions::held_bytes others;
    others.calls = this->counted->calls;
    others.responses = this->counted->responses + this->unfinished_responses();
    others.answers = this->counted->answers;
    return others;
}
} // namespace bilberrytally::node
