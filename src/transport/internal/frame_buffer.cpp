#include "transport/frame_buffer.hpp"

#include "transport/frame_codec.hpp"

#include <algorithm>
#include <utility>

namespace bilberrytally::transport
{
namespace
{
//! Holds several frames of usual calls and responses.
constexpr std::size_t buffer_bytes = 16U << 10U;
} // namespace

frame_buffer::frame_buffer(std::size_t max_body) : max_body(max_body)
{
}

void frame_buffer::set_max_body(std::size_t bytes)
{
    this->max_body = bytes;
}

std::span<char> frame_buffer::free_space()
{
    if (this->large)
    {
        return this->missing_of_large();
    }
    // Allocated here, so that a connection that never opens holds no buffer.
    this->bytes.resize(buffer_bytes);
    return std::span(this->bytes).subspan(this->end);
}

void frame_buffer::commit(std::size_t count)
{
    (this->large ? this->large_received : this->end) += count;
}

std::optional<received_frame> frame_buffer::next()
{
    if (this->large)
    {
        return this->take_large();
    }
    received_frame frame;
    if (this->stored() >= frame.header_as_sent.size())
    {
        const auto start =
            this->bytes.begin() + static_cast<std::ptrdiff_t>(this->begin);
        std::copy_n(
            start, frame.header_as_sent.size(), frame.header_as_sent.begin());
        this->problem = frame_codec::parse_header(
            frame.header_as_sent, this->max_body, frame.header);
        if (this->problem != frame_error::none)
        {
            return std::nullopt;
        }
        const auto size = frame.header_as_sent.size() + frame.header.length;
        if (this->stored() >= size)
        {
            const auto* body =
                this->bytes.data() + this->begin + frame.header_as_sent.size();
            const auto body_size = frame.header.length - frame.header.payload;
            frame.body.assign(body, body_size);
            frame.payload.assign(body + body_size, frame.header.payload);
            this->begin += size;
            return frame;
        }
        if (size > buffer_bytes)
        {
            this->begin_large(frame.header, frame.header_as_sent);
            return std::nullopt;
        }
    }
    // The rest of the frame fits once its start is at the front.
    std::copy(
        this->bytes.begin() + static_cast<std::ptrdiff_t>(this->begin),
        this->bytes.begin() + static_cast<std::ptrdiff_t>(this->end),
        this->bytes.begin());
    this->end = this->stored();
    this->begin = 0;
    return std::nullopt;
}

frame_error frame_buffer::error() const
{
    return this->problem;
}

std::size_t frame_buffer::stored() const
{
    return this->end - this->begin;
}

std::span<char> frame_buffer::missing_of_large()
{
    const auto body_size = this->large->body.size();
    if (this->large_received < body_size)
    {
        return std::span(this->large->body).subspan(this->large_received);
    }
    return std::span(this->large->payload)
        .subspan(this->large_received - body_size);
}

std::optional<received_frame> frame_buffer::take_large()
{
    if (this->large_received < this->large->header.length)
    {
        return std::nullopt;
    }
    return std::exchange(this->large, std::nullopt);
}

void frame_buffer::begin_large(
    const frame_header& header, const header_bytes& as_sent)
{
    this->large = received_frame{header, as_sent, {}, {}};
    this->large->body.resize(header.length - header.payload);
    this->large->payload.resize(header.payload);
    this->large_received = 0;
    auto stored = std::span(this->bytes)
                      .subspan(this->begin + as_sent.size())
                      .first(this->stored() - as_sent.size());
    while (!stored.empty())
    {
        const auto space = this->missing_of_large();
        const auto count = std::min(space.size(), stored.size());
        std::copy_n(stored.begin(), count, space.begin());
        this->large_received += count;
        stored = stored.subspan(count);
    }
    this->begin = 0;
    this->end = 0;
}
} // namespace bilberrytally::transport
