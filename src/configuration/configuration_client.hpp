#pragma once

#include "base/error.hpp"
#include "base/time.hpp"
#include "http/http_client.hpp"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bilberrytally::configuration
{
//! Answer of the configuration service to a read.
struct change_set
{
    //! Index to continue from.
    std::uint64_t index{0};
    //! Texts of tickets and instance lists changed since the last index.
    std::vector<std::string> documents;

    bool operator==(const change_set&) const = default;
};

//! Parses the body of an answer; wrong values name their place.
base::result<change_set> parse_changes(const std::string& body);

//! How a read ended.
struct read_outcome
{
    //! Nothing if the read failed.
    std::optional<change_set> changes;
    //! Why it failed.
    std::string failure;
};

using on_changes = std::function<void(read_outcome)>;

//! Reads the configuration service over HTTP; nothing is ever written.
//! Another protocol is supported by replacing this module.
class configuration_client
{
public:
    //! \p url is http://IP:port.
    static base::result<std::unique_ptr<configuration_client>> make(
        asio::io_context& context, const std::string& url,
        base::duration_ms timeout);

    //! Waits up to \p wait for changes after \p index. One read at a time.
    void read(std::uint64_t index, base::duration_ms wait, on_changes done);

private:
    configuration_client() = default;

    std::unique_ptr<http::http_client> client;
    std::string host;
    std::uint32_t port{0};
    base::duration_ms timeout;
};
} // namespace bilberrytally::configuration
