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
//! Response of the configuration service to a watch.
struct change_set
{
    //! Index from which the next watch continues.
    std::uint64_t index{0};
    //! JSON texts of the tickets and instance lists that changed since the last
    //! index.
    std::vector<std::string> documents;

    bool operator==(const change_set&) const = default;
};

//! Parses the body of a response. Errors name the JSON field.
base::result<change_set> parse_changes(const std::string& body);

//! Result of a watch.
struct watch_result
{
    //! Empty if the watch failed.
    std::optional<change_set> changes;
    //! Why it failed; empty if it succeeded.
    std::string failure;
};

using on_changes = std::function<void(watch_result)>;

//! Watches the configuration service over HTTP. It never writes.
//! Another protocol is supported by replacing this module.
class configuration_client
{
public:
    //! \p url is http://IP:port. \p timeout limits connecting, and the time
    //! for a response after the end of a wait.
    static base::result<std::unique_ptr<configuration_client>> make(
        asio::io_context& context, const std::string& url,
        base::duration_ms timeout);

    //! Gets the changes after \p index. If there are none yet, the service
    //! holds the request for up to \p wait (a long poll). One watch at a time.
    void watch(std::uint64_t index, base::duration_ms wait, on_changes done);

private:
    configuration_client() = default;

    std::unique_ptr<http::http_client> client;
    std::string host;
    std::uint32_t port{0};
    base::duration_ms timeout;
};
} // namespace bilberrytally::configuration
