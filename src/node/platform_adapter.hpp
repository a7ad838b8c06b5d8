#pragma once

#include "base/error.hpp"
#include "directory/dialect.hpp"
#include "directory/item_decoder.hpp"
#include "directory/store_client.hpp"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace bilberrytally::node
{
//! How a platform that publishes routes and targets in a store speaks.
struct platform_adapter
{
    directory::dialect names;
    directory::decode_item decode;
    //! Client of the store at IP:port.
    std::function<base::result<std::unique_ptr<directory::store_client>>(
        asio::io_context&, const std::string& address)>
        make_store;
};
} // namespace bilberrytally::node
