#pragma once

#include "schema/messages.hpp"

#include <cereal/archives/binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <exception>
#include <istream>
#include <optional>
#include <sstream>
#include <streambuf>
#include <string>
#include <string_view>
#include <utility>

namespace bilberrytally::transport
{
//! Reads from a text that it does not own or copy.
class view_buffer : public std::streambuf
{
public:
    explicit view_buffer(std::string_view text)
    {
        // The interface takes non-const pointers; nothing is written.
        auto* start = const_cast<char*>(text.data());
        this->setg(start, start, start + text.size());
    }
};

//! Serializes a message generated from the schema, without its payload.
template <class Message>
std::string encode(const Message& message)
{
    std::ostringstream stream;
    cereal::BinaryOutputArchive archive(stream);
    // cereal uses one non-const serialize() for both directions.
    archive(const_cast<Message&>(message));
    return std::move(stream).str();
}

//! Deserializes a message generated from the schema. Returns nothing if the
//! body is incomplete, malformed or longer than the message.
template <class Message>
std::optional<Message> decode(const std::string& body)
{
    try
    {
        view_buffer buffer(body);
        std::istream stream(&buffer);
        cereal::BinaryInputArchive archive(stream);
        Message message;
        archive(message);
        const bool whole = stream.peek() == std::istream::traits_type::eof();
        return whole ? std::optional(std::move(message)) : std::nullopt;
    }
    catch (const std::exception&)
    {
        return std::nullopt;
    }
}
} // namespace bilberrytally::transport
