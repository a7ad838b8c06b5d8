#pragma once

#include "base/time.hpp"
#include "http/http_client.hpp"
#include "node/internal/node_tables.hpp"

#include <atomic>
#include <functional>

namespace bilberrytally::node
{
//! Monitors whether the local backend server accepts connections and, if a
//! health path is set, whether it reports that it is ready.
class backend_monitor
{
public:
    backend_monitor(node_tables& tables, http::http_client& client);

    //! True if the backend server accepts connections, so that calls may be
    //! dispatched.
    bool is_up() const;

    //! The health check reports that the backend server is leaving or not
    //! ready.
    bool is_draining() const;

    //! Tells \p done whether the backend server has crashed: it does not answer
    //! a health check on a new connection, and refuses connections. Without a
    //! health path, a connection that stays open counts as an answer. A
    //! time-out or another error is not a crash.
    void check_crashed(std::function<void(bool crashed)> done);

    //! Records that a dispatch found the backend server not listening. Returns
    //! true if it was up until now.
    bool on_refused();

    void tick(base::time_ms now);

private:
    void poll_health();
    //! Connects and tells \p done whether connections are refused. One that is
    //! accepted and closed at once is tried a second time.
    void check_connection(std::function<void(bool refused)> done);
    http::transfer_request make_health_request() const;

    node_tables& tables;
    http::http_client& client;
    std::atomic<bool> up{true};
    std::atomic<bool> ready{true};
    std::atomic<bool> checking_connection{false};
    std::atomic<bool> polling{false};
    base::time_ms next_poll;
    base::time_ms next_check;
};
} // namespace bilberrytally::node
