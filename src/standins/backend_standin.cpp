#include "standins/backend_standin.hpp"

#include <algorithm>
#include <cstdlib>
#include <fcntl.h>
#include <unistd.h>

namespace bilberrytally::standins
{
namespace
{
constexpr std::uint32_t ok_status = 200;
constexpr std::uint32_t error_status = 500;
constexpr std::uint32_t shed_status = 503;
constexpr std::int64_t nested_call_timeout_ms = 60000;
constexpr mode_t record_mode = 0644;

std::map<std::string, std::string> parse_query(const std::string& target)
{
    std::map<std::string, std::string> query;
    auto at = target.find('?');
    while (at != std::string::npos)
    {
        const auto next = target.find('&', at + 1);
        const auto parameter = target.substr(at + 1, next - at - 1);
        const auto equal = parameter.find('=');
        query[parameter.substr(0, equal)] =
            equal == std::string::npos ? "" : parameter.substr(equal + 1);
        at = next;
    }
    return query;
}

//! Value of a numeric query parameter, or \p fallback if it is absent.
long number_parameter(
    const std::map<std::string, std::string>& query, const std::string& key,
    long fallback)
{
    const auto found = query.find(key);
    return found == query.end()
               ? fallback
               : std::strtol(found->second.c_str(), nullptr, 10);
}
} // namespace

backend_standin::backend_standin(
    asio::io_context& context, backend_settings settings)
    : context(context), settings(std::move(settings)),
      client(http::http_client::make(context, {}))
{
    if (!this->settings.record_path.empty())
    {
        this->record_file = ::open(
            this->settings.record_path.c_str(), O_CREAT | O_APPEND | O_WRONLY,
            record_mode);
    }
}

backend_standin::~backend_standin()
{
    if (this->record_file >= 0)
    {
        ::close(this->record_file);
    }
}

void backend_standin::record(const char* kind, const std::string& id) const
{
    if (this->record_file < 0)
    {
        return;
    }
    const auto line =
        std::string(kind) + ' ' + id + ' ' + this->settings.instance + '\n';
    // A line written with one write() survives a crash of this process.
    if (::write(this->record_file, line.data(), line.size()) < 0)
    {
        std::abort();
    }
}

void backend_standin::on_request(
    std::uint64_t connection, const http::request& request,
    const http::respond& respond)
{
    auto query = parse_query(request.target);
    if (request.target.starts_with("/control"))
    {
        this->control(query, respond);
        return;
    }
    if (request.target.starts_with("/health"))
    {
        http::response response;
        response.status = this->health_status;
        respond(std::move(response));
        return;
    }
    auto accepted = std::make_unique<execution>();
    accepted->number = this->next_number++;
    accepted->connection = connection;
    accepted->id = query.count("id") != 0 ? query.at("id") : "none";
    accepted->query = std::move(query);
    accepted->request = request;
    accepted->respond = respond;
    if (this->running.size() < this->settings.slots)
    {
        this->start(std::move(accepted));
        return;
    }
    if (this->waiting.size() >= this->settings.queue)
    {
        http::response response;
        response.status = shed_status;
        respond(std::move(response));
        return;
    }
    this->waiting.push_back(std::move(accepted));
}

void backend_standin::control(
    const query_map& query, const http::respond& respond)
{
    if (query.count("slow") != 0)
    {
        this->slow_factor = std::strtod(query.at("slow").c_str(), nullptr);
    }
    this->fail_all =
        number_parameter(query, "fail", this->fail_all ? 1 : 0) != 0;
    this->health_status = static_cast<std::uint32_t>(
        number_parameter(query, "health", this->health_status));
    respond({});
}

void backend_standin::start(std::unique_ptr<execution> started)
{
    auto& item = *started;
    this->record("start", item.id);
    this->running.emplace(item.number, std::move(started));
    const auto service_ms =
        static_cast<double>(number_parameter(item.query, "ms", 0));
    const auto scaled_ms =
        static_cast<std::int64_t>(service_ms * this->slow_factor);
    if (scaled_ms <= 0)
    {
        this->on_service_time_over(item.number);
        return;
    }
    item.timer = std::make_unique<asio::steady_timer>(this->context);
    item.timer->expires_after(std::chrono::milliseconds(scaled_ms));
    item.timer->async_wait(
        [this, number = item.number](std::error_code error)
        {
            if (!error)
            {
                this->on_service_time_over(number);
            }
        });
}

void backend_standin::on_service_time_over(std::uint64_t number)
{
    const auto found = this->running.find(number);
    if (found == this->running.end())
    {
        return;
    }
    auto& item = *found->second;
    if (standins::number_parameter(item.query, "crash", 0) != 0)
    {
        ::_exit(1);
    }
    if (this->fail_all || item.query.count("fail") != 0)
    {
        this->end(number, error_status);
        return;
    }
    if (item.query.count("chain") != 0 && !item.query.at("chain").empty())
    {
        this->start_nested_calls(item);
        return;
    }
    this->end(number, ok_status);
}

void backend_standin::start_nested_calls(execution& item)
{
    const auto& chain = item.query.at("chain");
    const auto dot = chain.find('.');
    const auto service = chain.substr(0, dot);
    const auto rest =
        dot == std::string::npos ? std::string() : chain.substr(dot + 1);
    const auto fan =
        static_cast<std::uint32_t>(number_parameter(item.query, "fan", 1));
    item.nested_calls_left = fan;
    const auto parent_number = item.number;
    for (std::uint32_t i = 0; i < fan; ++i)
    {
        http::transfer_request request;
        request.content.method = "GET";
        request.content.target =
            "/work?id=" + item.id +
            "&ms=" + std::to_string(number_parameter(item.query, "ms", 0)) +
            "&fan=" + std::to_string(fan) + "&chain=" + rest;
        request.content.headers = {{"Host", service}};
        for (const auto& header : item.request.headers)
        {
            if (header.name == "traceparent" || header.name == "tracestate")
            {
                request.content.headers.push_back(header);
            }
        }
        request.host = this->settings.host;
        request.port = this->settings.node_port;
        request.timeout = {nested_call_timeout_ms};
        this->client->start(
            std::move(request),
            [this, parent_number](const auto& result)
            {
                const auto found = this->running.find(parent_number);
                if (found == this->running.end())
                {
                    return;
                }
                auto& parent = *found->second;
                parent.nested_call_failed |= result.content.status != ok_status;
                if (--parent.nested_calls_left == 0)
                {
                    this->end(
                        parent_number,
                        parent.nested_call_failed ? error_status : ok_status);
                }
            });
    }
}

void backend_standin::end(std::uint64_t number, std::uint32_t status)
{
    const auto found = this->running.find(number);
    if (found == this->running.end())
    {
        return;
    }
    const auto item = std::move(found->second);
    this->running.erase(found);
    this->record("end", item->id);
    if (status != ok_status)
    {
        this->record("failed", item->id);
    }
    if (number_parameter(item->query, "hang_up", 0) != 0)
    {
        ::_exit(1);
    }
    http::response response;
    response.status = status;
    response.headers = {{"Content-Type", "text/plain"}};
    response.body = "id=" + item->id + "\n";
    const auto size =
        static_cast<std::size_t>(number_parameter(item->query, "size", 0));
    if (response.body.size() < size)
    {
        response.body.resize(size, 'x');
    }
    item->respond(std::move(response));
    this->start_waiting();
}

void backend_standin::start_waiting()
{
    while (!this->waiting.empty() &&
           this->running.size() < this->settings.slots)
    {
        auto next = std::move(this->waiting.front());
        this->waiting.pop_front();
        this->start(std::move(next));
    }
}

void backend_standin::on_closed(std::uint64_t connection)
{
    std::erase_if(
        this->waiting,
        [&](const auto& item) { return item->connection == connection; });
    std::erase_if(
        this->running, [&](const auto& entry)
        { return entry.second->connection == connection; });
    this->start_waiting();
}
} // namespace bilberrytally::standins
