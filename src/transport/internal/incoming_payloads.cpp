#include "transport/incoming_payloads.hpp"

#include <utility>

namespace bilberrytally::transport
{
bool incoming_payloads::add(std::uint64_t id, message offered)
{
    const auto [added, is_new] = this->messages.emplace(id, std::move(offered));
    if (is_new)
    {
        this->waiting.emplace(id, &added->second);
    }
    return is_new;
}

const incoming_payloads::message* incoming_payloads::first_waiting() const
{
    return this->waiting.empty() ? nullptr : this->waiting.begin()->second;
}

std::uint64_t incoming_payloads::first_waiting_id() const
{
    return this->waiting.begin()->first;
}

std::size_t incoming_payloads::waiting_count() const
{
    return this->waiting.size();
}

void incoming_payloads::accept_first(held_memory held)
{
    auto& accepted = this->messages.at(this->first_waiting_id());
    this->waiting.erase(this->waiting.begin());
    accepted.accepted = true;
    accepted.held = std::move(held);
    accepted.payload.reserve(accepted.size);
}

bool incoming_payloads::remove(std::uint64_t id)
{
    this->waiting.erase(id);
    return this->messages.erase(id) > 0;
}

std::optional<incoming_payloads::message> incoming_payloads::add_piece(
    std::uint64_t id, std::string_view data, bool& valid)
{
    const auto found = this->messages.find(id);
    valid = found != this->messages.end() && found->second.accepted &&
            !data.empty() &&
            data.size() <= found->second.size - found->second.payload.size();
    if (!valid)
    {
        return std::nullopt;
    }
    auto& receiving = found->second;
    receiving.payload.append(data);
    if (receiving.payload.size() < receiving.size)
    {
        return std::nullopt;
    }
    auto complete = std::move(receiving);
    this->messages.erase(found);
    return complete;
}

void incoming_payloads::clear()
{
    this->messages.clear();
    this->waiting.clear();
}
} // namespace bilberrytally::transport
