#include "http/http_server.hpp"

#include <restinio/all.hpp>

#include <algorithm>
#include <atomic>
#include <cctype>

namespace bilberrytally::http
{
namespace
{
//! Requests over a limit, but within this multiple of it, are read completely
//! and refused with a response. Larger ones are cut off.
constexpr std::uint64_t polite_factor = 4;
//! Lower bound of the hard limit, in bytes.
constexpr std::uint64_t polite_minimum = 64U << 10U;
//! RESTinio closes a connection whose request takes longer to be handled.
constexpr std::chrono::hours longest_handling{2};
constexpr std::chrono::minutes longest_write{10};
constexpr std::size_t read_buffer_bytes = 4U << 10U;
constexpr std::size_t pipelined_requests = 2;
constexpr std::size_t concurrent_accepts = 4;

//! Tells the owner of the server of closed connections.
class closed_listener
{
public:
    explicit closed_listener(closed_handler on_closed)
        : on_closed(std::move(on_closed))
    {
    }

    void state_changed(
        const restinio::connection_state::notice_t& notice) const noexcept
    {
        using restinio::connection_state::closed_t;
        if (this->on_closed && std::holds_alternative<closed_t>(notice.cause()))
        {
            this->on_closed(notice.connection_id());
        }
    }

private:
    closed_handler on_closed;
};

struct server_traits : public restinio::default_traits_t
{
    using request_handler_t = std::function<restinio::request_handling_status_t(
        restinio::request_handle_t)>;
    using connection_state_listener_t = closed_listener;
};

using restinio_server = restinio::http_server_t<server_traits>;

std::string lower(std::string text)
{
    std::transform(
        text.begin(), text.end(), text.begin(),
        [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

request to_request(
    restinio::generic_request_t<restinio::no_extra_data_factory_t::data_t>&
        incoming)
{
    request result;
    result.method = incoming.header().method().c_str();
    result.target = incoming.header().request_target();
    incoming.header().for_each_field(
        [&](const auto& field) {
            result.headers.push_back({lower(field.name()), field.value()});
        });
    result.body = incoming.body();
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

using answer_count = std::shared_ptr<std::atomic<std::size_t>>;

//! Counts a response until it is written or dropped.
class unwritten_answer
{
public:
    explicit unwritten_answer(answer_count count) : count(std::move(count))
    {
        ++*this->count;
    }

    ~unwritten_answer()
    {
        --*this->count;
    }

    unwritten_answer(const unwritten_answer&) = delete;
    unwritten_answer& operator=(const unwritten_answer&) = delete;

private:
    answer_count count;
};

void send_response(
    const restinio::request_handle_t& incoming, response answer,
    const answer_count& count)
{
    const restinio::http_status_code_t code{
        static_cast<std::uint16_t>(answer.status)};
    auto builder =
        incoming->create_response(restinio::http_status_line_t{code, "-"});
    for (auto& header : answer.headers)
    {
        builder.append_header(std::move(header.name), std::move(header.value));
    }
    if (answer.close)
    {
        builder.connection_close();
    }
    builder.set_body(std::move(answer.body));
    builder.done([guard = std::make_shared<unwritten_answer>(count)](
                     const std::error_code&) {});
}

//! A response that refuses a request as too large and closes the connection.
response refuse_size(std::uint32_t status, const char* title)
{
    response answer;
    answer.status = status;
    answer.headers = {
        {"Content-Type", "application/problem+json"},
        {"Bilberrytally-Verdict", "not_run"}};
    answer.body = std::string("{\"type\":\"about:blank\",\"title\":\"") +
                  title + "\",\"status\":" + std::to_string(status) +
                  ",\"verdict\":\"not_run\"}";
    answer.close = true;
    return answer;
}

//! Size up to which a request over \p limit is read in order to refuse it.
std::uint64_t polite(std::uint64_t limit)
{
    return std::max(limit * polite_factor, polite_minimum);
}

class restinio_http_server : public http_server
{
public:
    restinio_http_server(
        asio::io_context& context, const server_settings& limits,
        request_handler on_request, closed_handler on_closed)
        : count(std::make_shared<std::atomic<std::size_t>>(0)),
          server(
              restinio::external_io_context(context),
              [&](auto& settings) {
                  this->configure(
                      settings, limits, on_request, std::move(on_closed));
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

    std::size_t unwritten() const override
    {
        return *this->count;
    }

private:
    template <class Settings>
    void configure(
        Settings& settings, const server_settings& limits,
        const request_handler& on_request, closed_handler on_closed) const
    {
        const std::chrono::milliseconds read_limit(limits.read_timeout.count);
        const auto field_limit =
            static_cast<std::size_t>(polite(limits.max_header_bytes));
        settings.address(limits.address)
            .port(static_cast<std::uint16_t>(limits.port))
            .buffer_size(read_buffer_bytes)
            .max_pipelined_requests(pipelined_requests)
            .concurrent_accepts_count(concurrent_accepts)
            .read_next_http_message_timelimit(read_limit)
            .handle_request_timeout(longest_handling)
            .write_http_response_timelimit(longest_write)
            .connection_state_listener(
                std::make_shared<closed_listener>(std::move(on_closed)))
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
                    .max_body_size(polite(limits.max_body_bytes)))
            .request_handler(
                [limits, on_request, count = this->count](
                    const restinio::request_handle_t& incoming)
                {
                    handle(limits, on_request, incoming, count);
                    return restinio::request_accepted();
                });
    }

    static void handle(
        const server_settings& limits, const request_handler& on_request,
        const restinio::request_handle_t& incoming, const answer_count& count)
    {
        auto received = to_request(*incoming);
        if (header_bytes(received) > limits.max_header_bytes)
        {
            send_response(
                incoming, refuse_size(431, "request headers too large"), count);
            return;
        }
        if (received.body.size() > limits.max_body_bytes)
        {
            send_response(
                incoming, refuse_size(413, "request body too large"), count);
            return;
        }
        on_request(
            incoming->connection_id(), std::move(received),
            [incoming, count](response answer)
            { send_response(incoming, std::move(answer), count); });
    }

    answer_count count;
    restinio_server server;
};
} // namespace

base::result<std::unique_ptr<http_server>> http_server::open(
    asio::io_context& context, const server_settings& settings,
    request_handler on_request, closed_handler on_closed)
{
    auto server = std::make_unique<restinio_http_server>(
        context, settings, std::move(on_request), std::move(on_closed));
    const auto place = settings.address + ":" + std::to_string(settings.port);
    BOOST_LEAF_CHECK(server->start(place));
    return std::unique_ptr<http_server>(std::move(server));
}
} // namespace bilberrytally::http
