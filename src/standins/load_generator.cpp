#include "standins/load_generator.hpp"

#include <algorithm>
#include <utility>

namespace bilberrytally::standins
{
namespace
{
//! Connections per node. The constructor also limits a response body to 64 MiB
//! and the bodies of all unfinished transfers to 1 GiB.
constexpr std::uint32_t max_connections = 4000;
//! Resolution of the goodput over time.
constexpr double slice_seconds = 0.1;
constexpr double ms_per_s = 1000;
//! Step in which a class without demand looks for the next phase with demand.
constexpr double idle_step_s = 0.02;
constexpr std::uint32_t ok_status = 200;
constexpr std::uint32_t first_redirect = 300;
constexpr std::int64_t key_timeout_ms = 2000;

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
    {
        return 0;
    }
    const auto last = static_cast<double>(values.size() - 1);
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(last * share);
    std::nth_element(values.begin(), at, values.end());
    return *at;
}
} // namespace

load_generator::load_generator(asio::io_context& context, load_plan plan)
    : context(context), plan(std::move(plan)),
      client(http::http_client::make(
          context, {max_connections, 64U << 20U, 1U << 30U})),
      random(this->plan.seed), next_arrival(this->plan.classes.size(), 0),
      totals(this->plan.classes.size())
{
    if (!this->plan.outcomes_path.empty())
    {
        this->outcomes_file.open(this->plan.outcomes_path);
    }
}

void load_generator::start(std::function<void()> on_done)
{
    this->on_done = std::move(on_done);
    this->start_time = steady::now();
    this->active_classes = this->plan.classes.size();
    for (std::size_t i = 0; i < this->plan.classes.size(); ++i)
    {
        this->timers.push_back(
            std::make_unique<asio::steady_timer>(this->context));
        this->schedule_next(i);
    }
}

double load_generator::elapsed_seconds() const
{
    return std::chrono::duration<double>(steady::now() - this->start_time)
        .count();
}

double load_generator::total_seconds() const
{
    double total = 0;
    for (const auto& phase : this->plan.phases)
    {
        total += phase.seconds;
    }
    return total;
}

double load_generator::factor_at(double seconds) const
{
    for (const auto& phase : this->plan.phases)
    {
        if (seconds < phase.seconds)
        {
            return phase.factor;
        }
        seconds -= phase.seconds;
    }
    return 0;
}

void load_generator::schedule_next(std::size_t class_index)
{
    // The next arrival is at most fifty steps (1 s) away, however low the rate.
    auto& at = this->next_arrival[class_index];
    const auto rate =
        this->plan.classes[class_index].rate * this->factor_at(at);
    std::exponential_distribution<double> interarrival(std::max(rate, 1e-9));
    at += rate > 0 ? std::min(interarrival(this->random), idle_step_s * 50)
                   : idle_step_s;
    if (at >= this->total_seconds())
    {
        --this->active_classes;
        this->check_done();
        return;
    }
    auto& timer = *this->timers[class_index];
    timer.expires_at(
        this->start_time + std::chrono::duration_cast<steady::duration>(
                               std::chrono::duration<double>(at)));
    timer.async_wait(
        [this, class_index, rate](std::error_code error)
        {
            if (error)
            {
                return;
            }
            if (rate > 0)
            {
                this->begin(class_index);
            }
            this->schedule_next(class_index);
        });
}

void load_generator::begin(std::size_t class_index)
{
    const auto& request_class = this->plan.classes[class_index];
    auto item = std::make_shared<open_request>();
    item->class_index = class_index;
    item->id = request_class.name + "-" + std::to_string(this->plan.seed) +
               "-" + std::to_string(this->next_id++);
    item->started = steady::now();
    ++this->open_requests;
    auto& totals = this->totals[class_index];
    ++totals.requests;
    ++totals.sent_per_slice[static_cast<std::uint64_t>(
        this->elapsed_seconds() / slice_seconds)];
    if (request_class.issued_key)
    {
        this->fetch_key(item);
        return;
    }
    item->key = request_class.keyed ? item->id : "";
    this->send(item);
}

void load_generator::fetch_key(const std::shared_ptr<open_request>& item)
{
    const auto& node = this->pick_node();
    http::transfer_request request;
    request.content.method = "POST";
    request.content.target = "/.well-known/bilberrytally/idempotency-keys";
    request.content.headers = {{"Host", "any"}};
    request.host = node.host;
    request.port = node.port;
    request.timeout = {key_timeout_ms};
    this->client->start(
        std::move(request),
        [this, item](const auto& result)
        {
            item->key =
                http::find_header(result.content.headers, "idempotency-key");
            if (item->key.empty())
            {
                ++this->totals[item->class_index].outcomes["no_key"];
                --this->open_requests;
                this->check_done();
                return;
            }
            this->send(item);
        });
}

const node_address& load_generator::pick_node()
{
    return this->plan.nodes[this->random() % this->plan.nodes.size()];
}

void load_generator::send(const std::shared_ptr<open_request>& item)
{
    const auto& request_class = this->plan.classes[item->class_index];
    const auto& node = this->pick_node();
    ++item->sends;
    ++this->totals[item->class_index].sends;
    http::transfer_request request;
    request.content.method = request_class.method;
    request.content.target = request_class.path + "&id=" + item->id;
    request.content.headers = {
        {"Host", request_class.service},
        {"X-Request-Timeout-Ms", std::to_string(request_class.timeout_ms)}};
    if (!item->key.empty())
    {
        request.content.headers.push_back({"Idempotency-Key", item->key});
        request.content.headers.push_back(
            {"Idempotency-Attempt", std::to_string(item->sends)});
    }
    request.host = node.host;
    request.port = node.port;
    // The client waits 200 ms longer than the time-out stated to the node.
    request.timeout = {request_class.timeout_ms + 200};
    this->client->start(
        std::move(request),
        [this, item](const auto& result) { this->on_result(item, result); });
}

std::string
load_generator::outcome_of(const http::transfer_result& result) const
{
    if (result.outcome != http::transfer_outcome::answered)
    {
        return result.outcome == http::transfer_outcome::unsent ? "unsent"
                                                                : "no_answer";
    }
    const auto verdict =
        http::find_header(result.content.headers, "bilberrytally-verdict");
    return std::string(verdict.empty() ? "ran" : verdict) + "/" +
           std::to_string(result.content.status);
}

void load_generator::on_result(
    const std::shared_ptr<open_request>& item,
    const http::transfer_result& result)
{
    const auto& request_class = this->plan.classes[item->class_index];
    auto& totals = this->totals[item->class_index];
    const auto outcome = this->outcome_of(result);
    ++totals.outcomes[outcome];
    if (this->outcomes_file.is_open())
    {
        this->outcomes_file << item->id << ' ' << item->sends << ' ' << outcome
                            << '\n';
    }
    const auto& body = result.content.body;
    const bool served = result.outcome == http::transfer_outcome::answered &&
                        result.content.status >= ok_status &&
                        result.content.status < first_redirect;
    const bool matches = body.starts_with("id=" + item->id + "\n") &&
                         body.size() >= request_class.size;
    totals.wrong_answers += served && !matches ? 1 : 0;
    const double latency_s =
        std::chrono::duration<double>(steady::now() - item->started).count();
    if (served && matches)
    {
        ++totals.good;
        totals.latencies_ms.push_back(latency_s * ms_per_s);
        ++totals.good_per_slice[static_cast<std::uint64_t>(
            this->elapsed_seconds() / slice_seconds)];
    }
    else if (item->sends <= request_class.resends)
    {
        this->send(item);
        return;
    }
    --this->open_requests;
    this->check_done();
}

void load_generator::check_done()
{
    if (this->active_classes == 0 && this->open_requests == 0 && this->on_done)
    {
        std::exchange(this->on_done, nullptr)();
    }
}

nlohmann::json load_generator::summary() const
{
    auto json = nlohmann::json::object();
    for (std::size_t i = 0; i < this->totals.size(); ++i)
    {
        const auto& totals = this->totals[i];
        auto slices = nlohmann::json::array();
        for (const auto& [slice, sent] : totals.sent_per_slice)
        {
            const auto found = totals.good_per_slice.find(slice);
            const auto good =
                found == totals.good_per_slice.end() ? 0 : found->second;
            slices.push_back({slice, sent, good});
        }
        json[this->plan.classes[i].name] = {
            {"requests", totals.requests},
            {"sends", totals.sends},
            {"good", totals.good},
            {"wrong_answers", totals.wrong_answers},
            {"outcomes", totals.outcomes},
            {"p50_ms", percentile(totals.latencies_ms, 0.5)},
            {"p99_ms", percentile(totals.latencies_ms, 0.99)},
            {"slices", slices}};
    }
    return json;
}
} // namespace bilberrytally::standins
