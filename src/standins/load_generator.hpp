#pragma once

#include "http/http_client.hpp"
#include "standins/load_plan.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace bilberrytally::standins
{
//! Sends requests in an open loop and sums up what came back. Runs on one
//! thread.
class load_generator
{
public:
    load_generator(asio::io_context& context, load_plan plan);

    //! Schedules all arrivals; \p on_done follows when all have ended.
    void start(std::function<void()> on_done);

    //! Counts, latencies and goodput over time per class.
    nlohmann::json summary() const;

private:
    using steady = std::chrono::steady_clock;

    struct class_totals
    {
        std::uint64_t requests{0};
        std::uint64_t sends{0};
        std::uint64_t good{0};
        std::uint64_t wrong_answers{0};
        std::map<std::string, std::uint64_t> outcomes;
        std::vector<double> latencies_ms;
        std::map<std::uint64_t, std::uint64_t> good_per_slice;
        std::map<std::uint64_t, std::uint64_t> sent_per_slice;
    };
    struct open_request
    {
        std::size_t kind{0};
        std::string id;
        std::string key;
        std::uint32_t sends{0};
        steady::time_point started;
    };

    void schedule_next(std::size_t kind);
    double factor_at(double seconds) const;
    double total_seconds() const;
    double elapsed() const;
    void begin(std::size_t kind);
    void fetch_key(const std::shared_ptr<open_request>& item);
    void send(const std::shared_ptr<open_request>& item);
    void on_result(
        const std::shared_ptr<open_request>& item,
        const http::transfer_result& result);
    void on_ended();
    const node_address& pick_node();
    std::string outcome_of(const http::transfer_result& result) const;

    asio::io_context& context;
    load_plan plan;
    std::unique_ptr<http::http_client> client;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<asio::steady_timer>> timers;
    std::vector<double> next_at;
    std::vector<class_totals> totals;
    std::ofstream outcomes;
    std::function<void()> on_done;
    steady::time_point start_time;
    std::uint64_t next_id{1};
    std::uint64_t open{0};
    std::size_t active_classes{0};
};
} // namespace bilberrytally::standins
