#pragma once

#include "base/error.hpp"
#include "directory/header_names.hpp"
#include "directory/item_decoder.hpp"
#include "directory/store_client.hpp"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace bilberrytally::node
{
//! Adapter to a platform that publishes its routes and targets in a store:
//! header names, the decoder of published items and the store's client.
struct platform_adapter
{
    directory::header_names headers;
    directory::item_decoder decode;
    //! Makes a client of the store at \p address, which is written IP:port.
    std::function<base::result<std::unique_ptr<directory::store_client>>(
        asio::io_context&, const std::string& address)>
        make_store;
};
} // namespace bilberrytally::node
