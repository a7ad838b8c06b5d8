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
//! Sends requests in an open loop, that is at the planned rate whether or not
//! earlier requests have ended, and summarizes their outcomes. Runs on one
//! thread.
class load_generator
{
public:
    load_generator(asio::io_context& context, load_plan plan);

    //! Starts the arrivals; calls \p on_done when all requests have ended.
    void start(std::function<void()> on_done);

    //! Counts, latencies and goodput over time of each class, as JSON.
    nlohmann::json summary() const;

private:
    using steady = std::chrono::steady_clock;

    //! Results of a class; times are counted in slices of 0.1 s.
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
    //! A request that has not ended.
    struct open_request
    {
        //! Index of the request's class.
        std::size_t class_index{0};
        std::string id;
        std::string key;
        std::uint32_t sends{0};
        steady::time_point started;
    };

    //! Sets the timer for the next arrival of a class.
    void schedule_next(std::size_t class_index);
    //! Demand factor at a time since the start; 0 after the last phase.
    double factor_at(double seconds) const;
    double total_seconds() const;
    //! Seconds since the start.
    double elapsed_seconds() const;
    void begin(std::size_t class_index);
    void fetch_key(const std::shared_ptr<open_request>& item);
    void send(const std::shared_ptr<open_request>& item);
    void on_result(
        const std::shared_ptr<open_request>& item,
        const http::transfer_result& result);
    //! Calls on_done if no request is open and none will follow.
    void check_done();
    const node_address& pick_node();
    //! Outcome of a send: verdict/status, or why there was no response.
    std::string outcome_of(const http::transfer_result& result) const;

    asio::io_context& context;
    load_plan plan;
    std::unique_ptr<http::http_client> client;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<asio::steady_timer>> timers;
    //! Time of the next arrival by class, in seconds since the start.
    std::vector<double> next_arrival;
    std::vector<class_totals> totals;
    std::ofstream outcomes_file;
    std::function<void()> on_done;
    steady::time_point start_time;
    std::uint64_t next_id{1};
    //! Number of open requests.
    std::uint64_t open_requests{0};
    //! Number of classes with arrivals to come.
    std::size_t active_classes{0};
};
} // namespace bilberrytally::standins
