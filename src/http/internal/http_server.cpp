#include "http/http_server.hpp"

#include "http/internal/counting_parser.hpp"
#include "http/internal/gated_socket.hpp"
#include "http/internal/pipeline_table.hpp"

#include <restinio/all.hpp>

#include <algorithm>
#include <atomic>
#include <cctype>

namespace bilberrytally::http
{
namespace
{
//! Requests over a limit, but within this multiple of it, are read completely
//! and refused with a response. For larger ones the connection is closed
//! without a response.
constexpr std::uint64_t hard_limit_factor = 4;
//! Lower bound of the hard limit, in bytes.
constexpr std::uint64_t hard_limit_minimum = 64U << 10U;
//! Most bytes over a limit that are read only to be refused.
constexpr std::uint64_t max_refused_excess = 4U << 20U;
//! RESTinio closes a connection whose request takes longer to be handled.
constexpr std::chrono::hours handling_timeout{2};
constexpr std::chrono::minutes write_timeout{10};
constexpr std::size_t read_buffer_bytes = 4U << 10U;
//! Requests of one connection that are handled at the same time; more are read
//! once a response has been sent. At least 2, since the server only notices
//! that a caller has gone while it reads.
constexpr std::size_t pipelined_requests = 8;
constexpr std::size_t concurrent_accepts = 4;
//! Memory of a response beside its body.
constexpr std::uint64_t response_bytes = 1U << 10U;
//! Memory of a request in progress beside its head and body.
constexpr std::uint64_t request_bytes = 2U << 10U;
//! The head of a request is held as received and as forwarded.
constexpr std::uint64_t head_copies = 2;
//! Bodies from this size on are not copied: the request that RESTinio made is
//! kept instead.
constexpr std::size_t shared_body_bytes = 16U << 10U;
constexpr std::uint32_t unavailable_status = 503;

using shared_pipelines = std::shared_ptr<pipeline_table>;

//! Tells the owner of the server of closed connections.
class closed_listener
{
public:
    closed_listener(closed_handler on_closed, shared_pipelines pipelines)
        : on_closed(std::move(on_closed)), pipelines(std::move(pipelines))
    {
    }

    void state_changed(
        const restinio::connection_state::notice_t& notice) const noexcept
    {
        using restinio::connection_state::closed_t;
        if (!std::holds_alternative<closed_t>(notice.cause()))
        {
            return;
        }
        this->pipelines->remove(notice.connection_id());
        if (this->on_closed)
        {
            this->on_closed(notice.connection_id());
        }
    }

private:
    closed_handler on_closed;
    shared_pipelines pipelines;
};

struct server_traits : public restinio::default_traits_t
{
    using request_handler_t = std::function<restinio::request_handling_status_t(
        restinio::request_handle_t)>;
    using connection_state_listener_t = closed_listener;
    using stream_socket_t = gated_socket;
    using http_methods_mapper_t = counted_http_methods;
};

using restinio_server = restinio::http_server_t<server_traits>;

std::string to_lower(std::string text)
{
    std::transform(
        text.begin(), text.end(), text.begin(),
        [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

request to_request(const restinio::request_handle_t& incoming)
{
    request result;
    result.method = incoming->header().method().c_str();
    result.target = incoming->header().request_target();
    incoming->header().for_each_field(
        [&](const auto& field) {
            result.headers.push_back({to_lower(field.name()), field.value()});
        });
    if (incoming->body().size() >= shared_body_bytes)
    {
        result.body = {incoming, incoming->body()};
    }
    else if (!incoming->body().empty())
    {
        result.body = incoming->body();
    }
    return result;
}

//! Size of the request target and all headers; each header counts 4 bytes more
//! for ": " and the line end.
std::uint64_t header_bytes(const request& incoming)
{
    std::uint64_t total = incoming.target.size();
    for (const auto& header : incoming.headers)
    {
        total += header.name.size() + header.value.size() + 4;
    }
    return total;
}

//! The responses not yet written to their sockets, and their body bytes.
struct unwritten_responses
{
    std::atomic<std::size_t> count{0};
    std::atomic<std::uint64_t> bytes{0};
};

using unwritten_ptr = std::shared_ptr<unwritten_responses>;
using charge_ptr = std::unique_ptr<connection_account::charge>;

//! Counts a response until it is written or dropped.
class unwritten_guard
{
public:
    unwritten_guard(
        unwritten_ptr unwritten, std::uint64_t body_bytes, charge_ptr held)
        : unwritten(std::move(unwritten)), body_bytes(body_bytes),
          held(std::move(held))
    {
        ++this->unwritten->count;
        this->unwritten->bytes += body_bytes;
    }

    ~unwritten_guard()
    {
        --this->unwritten->count;
        this->unwritten->bytes -= this->body_bytes;
    }

    unwritten_guard(const unwritten_guard&) = delete;
    unwritten_guard& operator=(const unwritten_guard&) = delete;

private:
    unwritten_ptr unwritten;
    std::uint64_t body_bytes;
    charge_ptr held;
};

using response_builder =
    restinio::response_builder_t<restinio::restinio_controlled_output_t>;

void send_response(
    response_builder& builder, response outgoing,
    const unwritten_ptr& unwritten, connection_account::entry& connection)
{
    const restinio::http_status_code_t code{
        static_cast<std::uint16_t>(outgoing.status)};
    builder.header().status_line(restinio::http_status_line_t{code, "-"});
    for (auto& header : outgoing.headers)
    {
        builder.append_header(std::move(header.name), std::move(header.value));
    }
    if (outgoing.close)
    {
        builder.connection_close();
    }
    auto guard = std::make_shared<unwritten_guard>(
        unwritten, outgoing.body.size(),
        connection.add_response(outgoing.body.size() + response_bytes));
    builder.set_body(std::move(outgoing.body));
    builder.done([guard = std::move(guard)](const std::error_code&) {});
}

//! A response that refuses a request because of a limit and closes the
//! connection.
response refusal_response(std::uint32_t status, const char* title)
{
    response outgoing;
    outgoing.status = status;
    outgoing.headers = {
        {"Content-Type", "application/problem+json"},
        {"Bilberrytally-Verdict", "not_run"}};
    outgoing.body = std::string("{\"type\":\"about:blank\",\"title\":\"") +
                    title + "\",\"status\":" + std::to_string(status) +
                    ",\"verdict\":\"not_run\"}";
    outgoing.close = true;
    return outgoing;
}

//! Size up to which a request over \p limit is read in order to refuse it.
std::uint64_t hard_limit(std::uint64_t limit)
{
    return std::max(
        std::min(limit * hard_limit_factor, limit + max_refused_excess),
        hard_limit_minimum);
}

//! The account's entry of the connection whose request is handled.
connection_account::entry_ptr entry_of_request(connection_account& account)
{
    if (auto* current = connection_scope::current())
    {
        return current->shared_from_this();
    }
    // RESTinio handles a request that follows one to upgrade the connection
    // outside of reads and writes; its charges get an entry of their own.
    auto entry = account.open(nullptr, base::now());
    entry->release();
    return entry;
}

class restinio_http_server : public http_server
{
public:
    restinio_http_server(
        asio::io_context& context, const server_settings& server_options,
        request_handler on_request, closed_handler on_closed)
        : unwritten(std::make_shared<unwritten_responses>()),
          pipelines(std::make_shared<pipeline_table>()),
          server(
              restinio::external_io_context(context),
              [&](auto& settings)
              {
                  this->configure(
                      settings, server_options, on_request,
                      std::move(on_closed),
                      asio::use_service<account_service>(context).account);
              })
    {
    }

    base::result<void> start(const std::string& place)
    {
        try
        {
            this->server.open_sync();
            return {};
        }
        catch (const std::exception& failure)
        {
            return base::fail(place, failure.what());
        }
    }

    void close() override
    {
        // Called on a worker thread, where a synchronous close would wait for
        // itself.
        this->server.close_async([] {}, [](const std::exception_ptr&) {});
    }

    std::size_t unwritten_count() const override
    {
        return this->unwritten->count;
    }

    std::uint64_t unwritten_bytes() const override
    {
        return this->unwritten->bytes;
    }

private:
    template <class Settings>
    void configure(
        Settings& settings, const server_settings& server_options,
        const request_handler& on_request, closed_handler on_closed,
        connection_account& account) const
    {
        const std::chrono::milliseconds read_limit(
            server_options.read_timeout.count);
        const auto field_limit = static_cast<std::size_t>(
            hard_limit(server_options.max_header_bytes));
        settings.address(server_options.address)
            .port(static_cast<std::uint16_t>(server_options.port))
            .buffer_size(read_buffer_bytes)
            .max_pipelined_requests(pipelined_requests)
            .concurrent_accepts_count(concurrent_accepts)
            .read_next_http_message_timelimit(read_limit)
            .handle_request_timeout(handling_timeout)
            .write_http_response_timelimit(write_timeout)
            .connection_state_listener(std::make_shared<closed_listener>(
                std::move(on_closed), this->pipelines))
            .acceptor_options_setter(
                [](auto& options) {
                    options.set_option(
                        asio::ip::tcp::acceptor::reuse_address(true));
                })
            .socket_options_setter(
                [](auto& options)
                { options.set_option(asio::ip::tcp::no_delay(true)); })
            .incoming_http_msg_limits(
                restinio::incoming_http_msg_limits_t{}
                    .max_url_size(field_limit)
                    .max_field_name_size(field_limit)
                    .max_field_value_size(field_limit)
                    .max_body_size(hard_limit(server_options.max_body_bytes)))
            .request_handler(
                [server_options, on_request, unwritten = this->unwritten,
                 pipelines = this->pipelines,
                 &account](restinio::request_handle_t incoming)
                {
                    handle(
                        server_options, on_request, std::move(incoming),
                        unwritten, pipelines, account);
                    return restinio::request_accepted();
                });
    }

    static void handle(
        const server_settings& server_options,
        const request_handler& on_request, restinio::request_handle_t incoming,
        const unwritten_ptr& unwritten, const shared_pipelines& pipelines,
        connection_account& account)
    {
        const auto connection = incoming->connection_id();
        const auto number = pipelines->add(connection);
        const auto entry = entry_of_request(account);
        // Made now, since it takes the connection out of the request, which a
        // large body keeps alive. Shared, since std::function needs a copyable
        // object.
        auto builder =
            std::make_shared<response_builder>(incoming->create_response());
        auto received = to_request(incoming);
        incoming.reset();
        const auto head_size = header_bytes(received);
        // Shared for the same reason.
        std::shared_ptr<connection_account::charge> held =
            entry->complete_request(
                request_bytes + head_copies * head_size + received.body.size(),
                base::now());
        if (head_size > server_options.max_header_bytes)
        {
            send_response(
                *builder, refusal_response(431, "request headers too large"),
                unwritten, *entry);
            return;
        }
        if (received.body.size() > server_options.max_body_bytes)
        {
            send_response(
                *builder, refusal_response(413, "request body too large"),
                unwritten, *entry);
            return;
        }
        if (!held)
        {
            auto refusal =
                refusal_response(unavailable_status, "too many requests held");
            refusal.headers.push_back({"Retry-After", "1"});
            send_response(*builder, std::move(refusal), unwritten, *entry);
            return;
        }
        on_request(
            connection, std::move(received),
            [builder, unwritten, pipelines, connection, number, entry,
             held = std::move(held)](response outgoing) mutable
            {
                // A response that closes the connection would discard those to
                // the requests behind it.
                outgoing.close &= pipelines->is_newest(connection, number);
                send_response(*builder, std::move(outgoing), unwritten, *entry);
                held.reset();
            });
    }

    unwritten_ptr unwritten;
    shared_pipelines pipelines;
    restinio_server server;
};
} // namespace

void limit_connections(
    asio::io_context& context, const connection_limits& limits)
{
    asio::use_service<account_service>(context).account.set_limits(limits);
}

connection_usage connections_in_use(asio::io_context& context)
{
    return asio::use_service<account_service>(context).account.usage();
}

connection_usage check_connections(asio::io_context& context)
{
    auto& account = asio::use_service<account_service>(context).account;
    account.check(base::now());
    return account.usage();
}

base::result<std::unique_ptr<http_server>> http_server::open(
    asio::io_context& context, const server_settings& settings,
    request_handler on_request, closed_handler on_closed)
{
    if (settings.max_unanswered_bytes > 0)
    {
        asio::use_service<upload_gate>(context).set_limit(
            settings.max_unanswered_bytes);
    }
    auto server = std::make_unique<restinio_http_server>(
        context, settings, std::move(on_request), std::move(on_closed));
    const auto place = settings.address + ":" + std::to_string(settings.port);
    BOOST_LEAF_CHECK(server->start(place));
    return std::unique_ptr<http_server>(std::move(server));
}
} // namespace bilberrytally::http
