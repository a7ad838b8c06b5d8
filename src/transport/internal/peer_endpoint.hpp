#pragma once

#include "transport/peer_link.hpp"

#include <asio/ip/address.hpp>

#include <cstdint>
#include <system_error>

namespace bilberrytally::transport
{
//! The endpoint at which a node listens; sets \p error if the address is not an
//! IP address.
template <class Protocol>
typename Protocol::endpoint
endpoint_of(const peer_address& address, std::error_code& error)
{
    const auto ip = asio::ip::make_address(address.host, error);
    return {ip, static_cast<std::uint16_t>(address.port)};
}
} // namespace bilberrytally::transport
