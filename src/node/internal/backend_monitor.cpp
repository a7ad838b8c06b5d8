#include "node/internal/backend_monitor.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <memory>

namespace bilberrytally::node
{
namespace
{
constexpr std::chrono::milliseconds connect_timeout{300};
//! Interval of connection attempts while the backend server is down.
constexpr base::duration_ms down_check_interval{50};
constexpr std::uint32_t first_client_error_status = 400;

//! An accepted connection that stays open for this long proves that the backend
//! server runs. The kernel still accepts connections for a process that exits,
//! and resets them a moment later, when it closes the listening socket. A
//! caller waits for this time before its lost request is retried.
constexpr std::chrono::milliseconds accepted_check_time{10};

//! Connects and finds out whether a process accepts the connection. If the
//! connection is closed at once, a second attempt decides.
class connection_check : public std::enable_shared_from_this<connection_check>
{
public:
    connection_check(
        asio::io_context& context, asio::ip::tcp::endpoint endpoint,
        std::function<void(bool)> done)
        : strand(asio::make_strand(context)), socket(this->strand),
          timer(this->strand), endpoint(std::move(endpoint)),
          done(std::move(done))
    {
    }

    void start()
    {
        this->close_after(connect_timeout);
        this->socket.async_connect(
            this->endpoint,
            [self = this->shared_from_this()](std::error_code error)
            { self->on_connect(error); });
    }

private:
    void on_connect(std::error_code error)
    {
        if (error || this->is_second_attempt)
        {
            // Only a refusal is proof that nothing listens; a slow connect may
            // be a loaded backend server.
            this->finish(error == asio::error::connection_refused);
            return;
        }
        this->close_after(accepted_check_time);
        this->socket.async_wait(
            asio::ip::tcp::socket::wait_read,
            [self = this->shared_from_this()](std::error_code wait_error)
            { self->on_readable(wait_error); });
    }

    void on_readable(std::error_code error)
    {
        if (error)
        {
            this->finish(false);
            return;
        }
        // Nothing was sent, so the backend server closed the connection.
        this->is_second_attempt = true;
        std::error_code ignored;
        this->socket.close(ignored);
        this->start();
    }

    //! Closes the socket, which ends the current operation, after \p time.
    void close_after(std::chrono::milliseconds time)
    {
        this->timer.expires_after(time);
        this->timer.async_wait(
            [self = this->shared_from_this()](std::error_code error)
            {
                if (!error)
                {
                    std::error_code ignored;
                    self->socket.close(ignored);
                }
            });
    }

    void finish(bool refused)
    {
        this->timer.cancel();
        this->done(refused);
    }

    asio::strand<asio::io_context::executor_type> strand;
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    asio::ip::tcp::endpoint endpoint;
    std::function<void(bool)> done;
    bool is_second_attempt{false};
};
} // namespace

backend_monitor::backend_monitor(node_tables& tables, http::http_client& client)
    : tables(tables), client(client)
{
}

bool backend_monitor::is_up() const
{
    return this->up;
}

bool backend_monitor::is_draining() const
{
    return !this->ready;
}

void backend_monitor::check_crashed(std::function<void(bool crashed)> done)
{
    if (this->tables.settings.backend.health_path.empty())
    {
        this->check_connection(std::move(done));
        return;
    }
    auto request = this->make_health_request();
    request.new_connection = true;
    this->client.start(
        std::move(request),
        [this, done = std::move(done)](const http::transfer_result& result)
        {
            if (result.outcome == http::transfer_outcome::answered)
            {
                done(false);
                return;
            }
            this->check_connection(done);
        });
}

void backend_monitor::check_connection(std::function<void(bool refused)> done)
{
    const auto& backend = this->tables.settings.backend;
    std::error_code error;
    const auto ip = asio::ip::make_address(backend.host, error);
    const asio::ip::tcp::endpoint endpoint(
        ip, static_cast<std::uint16_t>(backend.port));
    std::make_shared<connection_check>(
        this->tables.context, endpoint, std::move(done))
        ->start();
}

bool backend_monitor::on_refused()
{
    const bool was_up = this->up.exchange(false);
    if (was_up)
    {
        this->tables.record_event({0, "backend_down", 0, 0, "", ""});
    }
    return was_up;
}

void backend_monitor::tick(base::time_ms now)
{
    if (!this->up && now >= this->next_check &&
        !this->checking_connection.exchange(true))
    {
        this->next_check = now + down_check_interval;
        this->check_connection(
            [this](bool refused)
            {
                this->checking_connection = false;
                if (!refused && !this->up.exchange(true))
                {
                    this->tables.record_event({0, "backend_up", 0, 0, "", ""});
                }
            });
    }
    const auto& backend = this->tables.settings.backend;
    if (!backend.health_path.empty() && now >= this->next_poll &&
        !this->polling.exchange(true))
    {
        this->next_poll = now + base::duration_ms{backend.health_interval_ms};
        this->poll_health();
    }
}

void backend_monitor::poll_health()
{
    this->client.start(
        this->make_health_request(),
        [this](const http::transfer_result& result)
        {
            this->polling = false;
            const bool answered =
                result.outcome == http::transfer_outcome::answered;
            const bool says_ready =
                answered && result.content.status < first_client_error_status;
            // Only an HTTP response counts; a missing one may be caused by
            // load.
            if (answered && this->ready.exchange(says_ready) != says_ready)
            {
                this->tables.record_event(
                    {0, says_ready ? "backend_ready" : "backend_draining", 0, 0,
                     "", ""});
            }
        });
}

http::transfer_request backend_monitor::make_health_request() const
{
    const auto& backend = this->tables.settings.backend;
    http::transfer_request request;
    request.content.method = "GET";
    request.content.target = backend.health_path;
    request.host = backend.host;
    request.port = backend.port;
    request.timeout = {backend.health_interval_ms};
    return request;
}
} // namespace bilberrytally::node
