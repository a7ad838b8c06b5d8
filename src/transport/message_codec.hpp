#pragma once

#include "schema/messages.hpp"

#include <cereal/archives/binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <exception>
#include <optional>
#include <sstream>
#include <string>

namespace bilberrytally::transport
{
//! Serializes a message generated from the schema.
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
        std::istringstream stream(body);
        cereal::BinaryInputArchive archive(stream);
        Message message;
        archive(message);
        const bool whole =
            stream.peek() == std::istringstream::traits_type::eof();
        return whole ? std::optional(std::move(message)) : std::nullopt;
    }
    catch (const std::exception&)
    {
        return std::nullopt;
    }
}
} // namespace bilberrytally::transport
