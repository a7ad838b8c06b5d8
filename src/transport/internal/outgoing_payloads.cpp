#include "transport/outgoing_payloads.hpp"

#include <algorithm>
#include <utility>

namespace bilberrytally::transport
{
namespace
{
//! Small enough for other messages to pass between two pieces in time.
constexpr std::size_t piece_bytes = 64U << 10U;
} // namespace

schema::payload_offer outgoing_payloads::add(outgoing_message message)
{
    schema::payload_offer offer;
    offer.id = ++this->last_id;
    offer.kind = static_cast<std::uint32_t>(message.kind);
    offer.size = message.payload.size();
    offer.message = std::move(message.body);
    this->messages.emplace(offer.id, std::move(message));
    return offer;
}

void outgoing_payloads::accept(std::uint64_t id)
{
    if (this->messages.contains(id))
    {
        this->accepted.push_back(id);
    }
}

std::optional<outgoing_message> outgoing_payloads::remove(std::uint64_t id)
{
    auto node = this->messages.extract(id);
    if (node.empty())
    {
        return std::nullopt;
    }
    if (!this->accepted.empty() && this->accepted.front() == id)
    {
        this->taken = 0;
    }
    std::erase(this->accepted, id);
    return std::move(node.mapped());
}

std::optional<std::uint64_t>
outgoing_payloads::find(frame_kind kind, std::uint64_t call) const
{
    const auto found = std::find_if(
        this->messages.begin(), this->messages.end(),
        [&](const auto& item)
        { return item.second.kind == kind && item.second.call == call; });
    return found == this->messages.end() ? std::nullopt
                                         : std::optional(found->first);
}

std::optional<outgoing_payloads::piece> outgoing_payloads::next_piece()
{
    if (this->accepted.empty())
    {
        return std::nullopt;
    }
    const auto id = this->accepted.front();
    const auto& message = this->messages.at(id);
    const std::string_view whole = message.payload;
    piece next{
        id, message.payload, whole.substr(this->taken, piece_bytes),
        message.held};
    this->taken += next.data.size();
    if (this->taken == whole.size())
    {
        this->remove(id);
    }
    return next;
}

std::vector<std::uint64_t> outgoing_payloads::sent_calls() const
{
    std::vector<std::uint64_t> calls;
    for (const auto& [id, message] : this->messages)
    {
        if (message.sent_call() != 0)
        {
            calls.push_back(message.sent_call());
        }
    }
    return calls;
}

std::size_t outgoing_payloads::size() const
{
    return this->messages.size();
}

void outgoing_payloads::clear()
{
    this->messages.clear();
    this->accepted.clear();
    this->taken = 0;
}
} // namespace bilberrytally::transport
