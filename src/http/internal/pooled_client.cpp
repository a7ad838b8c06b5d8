#include "http/internal/pooled_connection.hpp"

#include <asio/dispatch.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <unordered_map>
#include <vector>

namespace bilberrytally::http
{
namespace
{
//! Idle limit for servers that announce none in a Keep-Alive header.
constexpr base::duration_ms default_idle_limit{4000};
//! Fraction of the idle timeout announced by the server after which a
//! connection is not reused, so that the server does not close it meanwhile.
constexpr std::int64_t idle_numerator = 3;
constexpr std::int64_t idle_denominator = 4;

//! A request that was given up after this time, without a byte of a response,
//! casts doubt on the connections that were idle all the while.
constexpr base::duration_ms silent_after{500};

//! Keeps a pool of connections to a server; all work is done on a strand.
class pooled_client : public http_client
{
public:
    pooled_client(asio::io_context& context, const client_limits& limits)
        : strand(asio::make_strand(context)), timer(this->strand),
          limits(limits), unfinished(std::make_shared<held_body_meter>(
                              limits.max_held_bytes, limits.room_for_responses))
    {
    }

    ~pooled_client() override
    {
        this->stopped = true;
        for (auto& [id, item] : this->transfers)
        {
            item.connection->close(transfer_outcome::cancelled);
        }
        for (auto& item : this->idle)
        {
            item.connection->close(transfer_outcome::cancelled);
        }
    }

    pooled_client(const pooled_client&) = delete;
    pooled_client& operator=(const pooled_client&) = delete;

    std::uint64_t
    start(transfer_request request, transfer_handler on_done) override
    {
        const auto id = ++this->last_id;
        // Posted rather than dispatched, so that the caller can store the id
        // before the transfer starts.
        asio::post(
            this->strand, [this, id, request = std::move(request),
                           on_done = std::move(on_done)]() mutable
            { this->begin(id, request, std::move(on_done)); });
        return id;
    }

    void cancel(std::uint64_t id) override
    {
        asio::post(
            this->strand,
            [this, id] { this->abort(id, transfer_outcome::cancelled); });
    }

    std::uint64_t held_bytes() const override
    {
        return this->unfinished->total();
    }

    void set_connections_per_host(std::uint32_t connections) override
    {
        asio::post(
            this->strand, [this, connections]
            { this->limits.connections_per_host = connections; });
    }

private:
    using connection_ptr = std::shared_ptr<pooled_connection>;

    struct transfer
    {
        connection_ptr connection;
        transfer_handler on_done;
        base::time_ms started;
        base::time_ms deadline;
        base::time_ms connect_deadline;
    };

    struct idle_connection
    {
        connection_ptr connection;
        asio::ip::tcp::endpoint endpoint;
        base::time_ms since;
    };

    void begin(
        std::uint64_t id, const transfer_request& request,
        transfer_handler on_done)
    {
        const auto now = base::now();
        std::error_code error;
        const auto ip = asio::ip::make_address(request.host, error);
        const asio::ip::tcp::endpoint endpoint(
            ip, static_cast<std::uint16_t>(request.port));
        if (error)
        {
            on_done({});
            return;
        }
        auto pooled = this->take_idle(endpoint, request.response_id.value, now);
        const bool is_new = !pooled;
        auto connection = is_new ? this->make_connection() : std::move(pooled);
        this->transfers.emplace(
            id, transfer{
                    connection, std::move(on_done), now, now + request.timeout,
                    now + request.connect_timeout});
        auto done =
            [this, id, endpoint, weak = std::weak_ptr(connection)](
                transfer_outcome outcome, response received, bool reusable)
        {
            this->on_transfer_end(
                id, outcome, std::move(received),
                reusable ? weak.lock() : nullptr, endpoint);
        };
        if (is_new)
        {
            connection->connect_and_send(endpoint, request, std::move(done));
            this->arm_timer(now + request.connect_timeout);
        }
        else
        {
            connection->send(request, std::move(done));
        }
        this->arm_timer(now + request.timeout);
    }

    connection_ptr make_connection()
    {
        const auto number = ++this->last_connection;
        auto connection = std::make_shared<pooled_connection>(
            this->strand, this->limits, this->unfinished,
            [this, number] { this->on_idle_close(number); },
            [this] { this->end_largest(); });
        this->connection_numbers.emplace(connection.get(), number);
        return connection;
    }

    //! Ends the largest responses until the others are within the limit. One
    //! that is not read any more does not notice the limit by itself.
    void end_largest()
    {
        while (this->unfinished->is_over())
        {
            const auto largest = std::max_element(
                this->transfers.begin(), this->transfers.end(),
                [](const auto& one, const auto& other)
                {
                    return one.second.connection->held_bytes() <
                           other.second.connection->held_bytes();
                });
            const bool is_any = largest != this->transfers.end() &&
                                largest->second.connection->held_bytes() > 0;
            if (!is_any)
            {
                return;
            }
            this->abort(largest->first, transfer_outcome::too_large);
        }
    }

    //! Takes the connection used most recently, so that surplus ones expire.
    //! Passes over connections that have carried a request with this id.
    connection_ptr take_idle(
        const asio::ip::tcp::endpoint& endpoint, const std::string& request_id,
        base::time_ms now)
    {
        for (auto item = this->idle.end(); item != this->idle.begin();)
        {
            --item;
            const bool usable = item->endpoint == endpoint &&
                                now - item->since < reuse_limit(*item);
            if (usable && item->connection->has_carried(request_id))
            {
                continue;
            }
            auto connection = std::move(item->connection);
            item = this->idle.erase(item);
            if (usable)
            {
                return connection;
            }
            this->remove_number(connection);
            connection->close(transfer_outcome::cancelled);
        }
        return nullptr;
    }

    static base::duration_ms reuse_limit(const idle_connection& item)
    {
        const auto limit = item.connection->server_idle_limit();
        return limit
                   ? base::
                         duration_ms{limit->count * idle_numerator / idle_denominator}
                   : default_idle_limit;
    }

    void close_expired(base::time_ms now)
    {
        // Sorted by idle time: the longest idle connection is first.
        while (!this->idle.empty() && now - this->idle.front().since >=
                                          reuse_limit(this->idle.front()))
        {
            auto connection = this->idle.front().connection;
            this->idle.erase(this->idle.begin());
            this->remove_number(connection);
            connection->close(transfer_outcome::cancelled);
        }
    }

    //! Closes the connections to a server that have been idle since before
    //! \p when: open connections may have gone silent together.
    void close_idle_since(
        const asio::ip::tcp::endpoint& endpoint, base::time_ms when)
    {
        std::vector<connection_ptr> doubtful;
        std::erase_if(
            this->idle,
            [&](const auto& item)
            {
                const bool doubted =
                    item.endpoint == endpoint && item.since <= when;
                if (doubted)
                {
                    doubtful.push_back(item.connection);
                }
                return doubted;
            });
        for (const auto& connection : doubtful)
        {
            this->remove_number(connection);
            connection->close(transfer_outcome::cancelled);
        }
    }

    void remove_number(const connection_ptr& connection)
    {
        this->connection_numbers.erase(connection.get());
    }

    void on_idle_close(std::uint64_t number)
    {
        if (this->stopped)
        {
            return;
        }
        std::erase_if(
            this->idle,
            [&](const auto& item)
            {
                const auto found =
                    this->connection_numbers.find(item.connection.get());
                return found != this->connection_numbers.end() &&
                       found->second == number;
            });
        std::erase_if(
            this->connection_numbers,
            [&](const auto& item) { return item.second == number; });
    }

    void on_transfer_end(
        std::uint64_t id, transfer_outcome outcome, response received,
        connection_ptr reusable, const asio::ip::tcp::endpoint& endpoint)
    {
        const auto found = this->transfers.find(id);
        if (found == this->transfers.end())
        {
            return;
        }
        const auto now = base::now();
        auto item = std::move(found->second);
        this->transfers.erase(found);
        if (reusable)
        {
            this->idle.push_back({std::move(reusable), endpoint, now});
        }
        else
        {
            this->remove_number(item.connection);
        }
        const bool given_up = outcome == transfer_outcome::cancelled ||
                              outcome == transfer_outcome::timed_out;
        if (given_up && now - item.started >= silent_after &&
            !item.connection->has_received())
        {
            this->close_idle_since(endpoint, item.started);
        }
        transfer_result result;
        result.outcome = outcome;
        result.content = std::move(received);
        result.duration_ms = static_cast<double>((now - item.started).count);
        if (!this->stopped)
        {
            item.on_done(std::move(result));
        }
    }

    void abort(std::uint64_t id, transfer_outcome outcome)
    {
        const auto found = this->transfers.find(id);
        if (found != this->transfers.end())
        {
            const auto connection = found->second.connection;
            connection->close(outcome);
        }
    }

    void arm_timer(base::time_ms when)
    {
        if (this->armed_for && *this->armed_for <= when)
        {
            return;
        }
        this->armed_for = when;
        const auto now = base::now();
        const auto wait_ms = std::max<std::int64_t>((when - now).count, 1);
        this->timer.expires_after(std::chrono::milliseconds(wait_ms));
        this->timer.async_wait(
            [this](std::error_code error)
            {
                if (!error)
                {
                    this->on_timer();
                }
            });
    }

    void on_timer()
    {
        this->armed_for.reset();
        const auto now = base::now();
        this->close_expired(now);
        std::vector<std::uint64_t> overdue;
        std::vector<std::uint64_t> unconnected;
        std::optional<base::time_ms> next;
        for (const auto& [id, item] : this->transfers)
        {
            const bool connecting = item.connection->is_connecting();
            const auto due =
                connecting ? std::min(item.connect_deadline, item.deadline)
                           : item.deadline;
            if (due > now)
            {
                next = next ? std::min(*next, due) : due;
                continue;
            }
            (connecting ? unconnected : overdue).push_back(id);
        }
        for (const auto id : unconnected)
        {
            this->abort(id, transfer_outcome::unsent);
        }
        for (const auto id : overdue)
        {
            this->abort(id, transfer_outcome::timed_out);
        }
        if (!this->idle.empty())
        {
            const auto expiry =
                this->idle.front().since + reuse_limit(this->idle.front());
            next = next ? std::min(*next, expiry) : expiry;
        }
        if (next)
        {
            this->arm_timer(*next);
        }
    }

    asio::strand<asio::io_context::executor_type> strand;
    asio::steady_timer timer;
    client_limits limits;
    std::shared_ptr<held_body_meter> unfinished;
    std::atomic<std::uint64_t> last_id{0};
    std::uint64_t last_connection{0};
    bool stopped{false};
    std::optional<base::time_ms> armed_for;
    std::unordered_map<std::uint64_t, transfer> transfers;
    std::unordered_map<const pooled_connection*, std::uint64_t>
        connection_numbers;
    //! Longest idle first.
    std::vector<idle_connection> idle;
};
} // namespace

std::unique_ptr<http_client>
http_client::make_pooled(asio::io_context& context, const client_limits& limits)
{
    return std::make_unique<pooled_client>(context, limits);
}
} // namespace bilberrytally::http
