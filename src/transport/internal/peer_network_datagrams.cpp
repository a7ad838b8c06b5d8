#include "transport/internal/peer_endpoint.hpp"
#include "transport/peer_network.hpp"

#include <asio/post.hpp>

#include <algorithm>
#include <array>
#include <utility>

// The part of peer_network that sends and receives datagrams.
namespace bilberrytally::transport
{
void peer_network::send_datagram(
    const peer_address& peer, frame_kind kind, const std::string& body)
{
    std::error_code error;
    const auto endpoint = endpoint_of<asio::ip::udp>(peer, error);
    const bool partitioned = this->table.with(
        [&](auto& table)
        { return table.partitioned_ports.count(peer.port) != 0; });
    if (error || partitioned ||
        body.size() + frame_header_bytes > max_datagram_bytes)
    {
        return;
    }
    this->sent_control_bytes += frame_header_bytes + body.size();
    asio::post(
        this->datagram_strand,
        [this, endpoint, kind, body]
        {
            const frame_header header{
                static_cast<std::uint32_t>(kind),
                static_cast<std::uint32_t>(body.size()),
                0,
                0,
                0,
                base::now().count,
                this->events.links.logical_time()};
            const auto bytes = this->datagram_codec.seal(header, body);
            const std::array<asio::const_buffer, 2> buffers{
                asio::buffer(bytes), asio::buffer(body)};
            std::error_code ignored;
            this->datagrams.send_to(buffers, endpoint, 0, ignored);
        });
}

void peer_network::receive_next()
{
    this->datagrams.async_receive_from(
        asio::buffer(this->datagram_buffer), this->datagram_sender,
        [this](std::error_code error, std::size_t length)
        {
            if (error == asio::error::operation_aborted)
            {
                return;
            }
            if (!error)
            {
                this->on_datagram(length);
            }
            this->receive_next();
        });
}

void peer_network::on_datagram(std::size_t length)
{
    const auto port = this->datagram_sender.port();
    const bool partitioned = this->table.with(
        [&](auto& table) { return table.partitioned_ports.count(port) != 0; });
    if (partitioned)
    {
        return;
    }
    header_bytes header_part{};
    frame_header header;
    if (length < header_part.size())
    {
        this->events.links.on_rejected(frame_error::garbage);
        return;
    }
    std::copy_n(
        this->datagram_buffer.begin(), header_part.size(), header_part.begin());
    std::string body = this->datagram_buffer.substr(
        header_part.size(), length - header_part.size());
    auto problem =
        frame_codec::parse_header(header_part, max_datagram_bytes, header);
    if (problem == frame_error::none)
    {
        problem = this->datagram_codec.verify(header_part, body);
    }
    if (problem != frame_error::none)
    {
        this->events.links.on_rejected(problem);
        return;
    }
    this->events.on_datagram(
        {static_cast<frame_kind>(header.kind),
         std::move(body),
         {},
         {0},
         header.logical_time,
         nullptr});
}
} // namespace bilberrytally::transport
