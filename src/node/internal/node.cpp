#include "node/node.hpp"

#include "base/hash.hpp"
#include "decisions/drain_schedule.hpp"
#include "node/internal/admin_api.hpp"
#include "node/internal/caller_side.hpp"
#include "node/internal/directory_follower.hpp"
#include "node/internal/document_gossip.hpp"
#include "node/internal/event_loop_monitor.hpp"
#include "node/internal/frame_dispatcher.hpp"
#include "node/internal/memory_limits.hpp"
#include "node/internal/quota_exchange.hpp"
#include "node/internal/settings_file.hpp"
#include "node/internal/target_side.hpp"
#include "transport/message_codec.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <cmath>
#include <condition_variable>
#include <csignal>
#include <optional>
#include <thread>
#include <vector>

namespace bilberrytally::node
{
namespace
{
constexpr base::duration_ms liveness_check_interval{100};
//! Time in which the last answers of a stop are written.
constexpr base::duration_ms last_answers_time{200};
constexpr base::duration_ms reconnect_interval{200};
constexpr base::duration_ms settings_check_interval{1000};
//! Mean delay in the event loop, in ms, from which on it is logged.
constexpr double logged_delay_ms = 20;
constexpr int exit_forced = 3;
constexpr double ms_per_s = 1000;
constexpr std::uint32_t ok_status = 200;
constexpr std::uint32_t unavailable_status = 503;
constexpr std::uint64_t admin_max_body_bytes = 1U << 20U;
constexpr std::uint64_t max_header_bytes = 16U << 10U;
constexpr base::duration_ms admin_read_timeout{15000};
constexpr base::duration_ms connection_check_interval{250};

std::unique_ptr<http::http_client> make_client(node_tables& tables)
{
    auto limits = response_limits(tables.settings);
    limits.room_for_responses = [&memory = tables.memory]
    { return memory.room_for_unfinished_responses(); };
    return tables.settings.platform.store.empty()
               ? http::http_client::make(tables.context, limits)
               : http::http_client::make_pooled(tables.context, limits);
}

class running_node : public node
{
public:
    running_node(
        const schema::node_settings& settings, const std::string& file,
        platform_adapter adapter)
        : adapter(std::move(adapter)), reloaded_settings(settings, file),
          work_guard(asio::make_work_guard(this->context)),
          tables(this->context, fit_memory(settings), base::random_bits()),
          inbound_calls(this->tables, make_client(this->tables)),
          outbound_calls(this->tables, this->inbound_calls),
          signals(this->context), timer(this->context)
    {
    }

    ~running_node() override
    {
        this->work_guard.reset();
        this->context.stop();
        for (auto& worker : this->workers)
        {
            worker.join();
        }
    }

    running_node(const running_node&) = delete;
    running_node& operator=(const running_node&) = delete;

    base::result<void> open()
    {
        const auto& settings = this->tables.settings;
        if (!settings.platform.store.empty())
        {
            this->tables.platform_headers = this->adapter.headers;
        }
        auto limits = client_limits(settings);
        limits.allows_large_request = [&memory = this->tables.memory]
        { return memory.allows_large_client(); };
        http::limit_connections(this->context, limits);
        this->catch_signals();
        this->start_workers();
        BOOST_LEAF_CHECK(this->open_network());
        BOOST_LEAF_CHECK(this->open_gossip());
        BOOST_LEAF_CHECK(this->open_directory());
        BOOST_LEAF_CHECK(this->open_admin());
        BOOST_LEAF_CHECK(this->open_ready());
        const http::server_settings server{
            settings.node.address,
            settings.node.caller_port,
            settings.caller.max_body_bytes,
            settings.caller.max_header_bytes,
            {settings.caller.read_timeout_ms},
            settings.caller.max_unanswered_bytes};
        BOOST_LEAF_ASSIGN(
            this->caller_server,
            http::http_server::open(
                this->context, server,
                [this](
                    std::uint64_t connection, http::request request,
                    http::respond respond)
                {
                    this->outbound_calls.on_request(
                        connection, std::move(request), std::move(respond));
                },
                [this](std::uint64_t connection)
                { this->outbound_calls.on_connection_closed(connection); }));
        this->outbound_calls.set_server(*this->caller_server);
        this->wait_for_signal();
        this->tick();
        return {};
    }

    int run() override
    {
        std::unique_lock lock(this->stop_mutex);
        this->stop_changed.wait(lock, [this] { return this->stopped; });
        return this->exit_code;
    }

private:
    void start_workers()
    {
        for (std::uint32_t i = 0; i < this->tables.settings.node.workers; ++i)
        {
            this->workers.emplace_back([this] { this->context.run(); });
        }
    }

    base::result<void> open_network()
    {
        const auto& local = this->tables.settings.node;
        schema::hello hello;
        hello.instance = local.instance;
        hello.incarnation = this->tables.incarnation;
        hello.host = local.address;
        hello.port = local.node_port;
        transport::network_events events;
        events.links.on_up = [this](auto link, const auto& peer)
        {
            this->frames.on_peer_availability(peer);
            this->outbound_calls.on_link_up(link, peer);
        };
        events.links.on_frame = [this](auto link, auto frame)
        { this->frames.on_frame(link, std::move(frame)); };
        events.links.on_down = [this](auto link, const auto& loss)
        {
            this->outbound_calls.on_link_down(link, loss);
            this->inbound_calls.on_link_down(link);
        };
        events.links.on_responsiveness_change =
            [this](auto link, const auto& peer, bool silent)
        { this->outbound_calls.on_link_responsiveness(link, peer, silent); };
        events.links.on_rejected = [this](auto problem)
        {
            this->tables.record_event(
                {0, "frame_rejected", 0, 0, "",
                 std::string("reason=") + transport::to_string(problem)});
        };
        events.links.reserve = [this](auto kind, auto bytes)
        {
            const auto use = kind == transport::frame_kind::answer
                                 ? decisions::memory_use::answers
                                 : decisions::memory_use::calls;
            return this->tables.memory.reserve(use, bytes);
        };
        events.links.on_declined =
            [this](auto link, auto kind, auto call, const auto& body)
        { this->frames.on_declined(link, kind, call, body); };
        events.links.logical_time = [this]
        { return this->tables.events.tick(); };
        events.on_datagram = [this](const auto& frame)
        { this->frames.on_datagram(frame); };
        BOOST_LEAF_ASSIGN(
            this->network, transport::peer_network::open(
                               this->context, {local.address, local.node_port},
                               local.key, hello, std::move(events)));
        this->outbound_calls.set_network(*this->network);
        this->inbound_calls.set_network(
            *this->network, [this](std::uint64_t inbound_id)
            { this->outbound_calls.cancel_nested_calls(inbound_id); });
        return {};
    }

    base::result<void> open_gossip()
    {
        const auto& platform = this->tables.settings.platform;
        std::unique_ptr<configuration::configuration_client> client;
        if (!platform.url.empty())
        {
            BOOST_LEAF_ASSIGN(
                client,
                configuration::configuration_client::make(
                    this->context, platform.url, {platform.timeout_ms}));
        }
        this->gossip = std::make_unique<document_gossip>(
            this->tables, std::move(client),
            [this](const schema::service_policy& policy)
            { this->inbound_calls.on_policy(policy); },
            [this] { this->inbound_calls.refuse_leaving(); });
        this->frames.set_gossip(*this->gossip);
        this->gossip->set_network(*this->network);
        return {};
    }

    base::result<void> open_directory()
    {
        const auto& store = this->tables.settings.platform.store;
        if (store.empty())
        {
            return {};
        }
        if (this->tables.settings.node.workers != 1)
        {
            return base::fail(
                "[node] workers", "expected 1 with [platform] store");
        }
        BOOST_LEAF_AUTO(client, this->adapter.make_store(this->context, store));
        this->quota = std::make_unique<quota_exchange>(
            this->tables,
            [this] { return this->tables.view_age(base::now()); });
        this->quota->set_network(*this->network);
        this->outbound_calls.set_quota(*this->quota);
        this->frames.set_quota(*this->quota);
        this->directory = std::make_unique<directory_follower>(
            this->tables, this->adapter, std::move(client),
            [this](const schema::service_policy& policy)
            { this->inbound_calls.on_policy(policy); },
            [this] { this->inbound_calls.refuse_leaving(); }, *this->quota);
        this->frames.set_directory(*this->directory);
        this->directory->set_network(*this->network);
        return {};
    }

    //! Opens the port at which the platform asks whether callers may send new
    //! work. The status is 200 if so, otherwise 503.
    base::result<void> open_ready()
    {
        const auto& local = this->tables.settings.node;
        if (local.ready_port == 0)
        {
            return {};
        }
        const http::server_settings server{
            local.address, local.ready_port, 0, max_header_bytes,
            admin_read_timeout};
        BOOST_LEAF_ASSIGN(
            this->ready_server,
            http::http_server::open(
                this->context, server,
                [this](auto, const auto&, const auto& respond)
                {
                    http::response response;
                    response.status =
                        this->is_ready() ? ok_status : unavailable_status;
                    respond(std::move(response));
                },
                nullptr));
        return {};
    }

    bool is_ready()
    {
        return !this->tables.draining &&
               (!this->directory || this->directory->is_ready());
    }

    base::result<void> open_admin()
    {
        const auto& admin = this->tables.settings.admin;
        this->admin = std::make_unique<admin_api>(
            this->tables, this->outbound_calls, this->inbound_calls,
            *this->gossip, *this->network,
            [this](bool draining) { return this->set_draining(draining); });
        const http::server_settings server{
            admin.address, admin.port, admin_max_body_bytes, max_header_bytes,
            admin_read_timeout};
        BOOST_LEAF_ASSIGN(
            this->admin_server,
            http::http_server::open(
                this->context, server,
                [this](auto, const auto& request, const auto& respond)
                { this->admin->on_request(request, respond); },
                nullptr));
        return {};
    }

    //! Returns whether the node drains now: a planned stop cannot be revoked.
    bool set_draining(bool draining)
    {
        draining |= this->stopping;
        if (this->tables.draining.exchange(draining) == draining)
        {
            return draining;
        }
        const auto& local = this->tables.settings.node;
        this->tables.record_event(
            {0, draining ? "draining" : "undraining", 0, 0, local.instance,
             ""});
        this->network->set_draining(draining);
        schema::hello notice;
        notice.instance = local.instance;
        notice.incarnation = this->tables.incarnation;
        notice.host = local.address;
        notice.port = local.node_port;
        notice.draining = draining;
        this->network->send_to_all(
            transport::frame_kind::availability_notice,
            transport::encode(notice));
        return draining;
    }

    //! From here on no signal ends the process by itself. Those that come
    //! before wait_for_signal() are handled then.
    void catch_signals()
    {
        for (const int number : {SIGTERM, SIGINT, SIGQUIT, SIGHUP})
        {
            this->signals.add(number);
        }
    }

    void wait_for_signal()
    {
        this->signals.async_wait(
            [this](std::error_code error, int signal)
            {
                if (error)
                {
                    return;
                }
                this->on_signal(signal);
                this->wait_for_signal();
            });
    }

    void on_signal(int signal)
    {
        switch (signal)
        {
        case SIGHUP:
            this->reload("signal");
            return;
        case SIGQUIT:
            this->force_stop("quit signal");
            return;
        default:
            this->on_stop_request();
        }
    }

    //! A stop may be requested again for reasons of its own, for example since
    //! the backend server has ended; this must not cut the calls in flight.
    void on_stop_request()
    {
        if (!this->stopping)
        {
            LOG(INFO) << "event=stop_requested";
            this->begin_stop();
            return;
        }
        LOG(INFO) << "event=stop_requested_again";
        this->stop_repeated = true;
    }

    void begin_stop()
    {
        const auto& local = this->tables.settings.node;
        const base::duration_ms kill_after{
            std::llround(local.kill_after_s * ms_per_s)};
        const auto limits = decisions::drain_limits::create(
            {local.drain_min_ms}, {local.drain_limit_ms}, kill_after);
        this->stop_schedule.emplace(limits, base::now());
        this->stopping = true;
        this->set_draining(true);
    }

    void reload(const char* cause)
    {
        const auto outcome = this->reloaded_settings.reload();
        this->tables.record_event(
            {0, "settings_" + std::string(to_string(outcome.kind)), 0, 0, "",
             "cause=" + std::string(cause) + " detail=\"" + outcome.detail +
                 "\""});
        if (outcome.kind != reload_kind::rejected && this->directory)
        {
            this->directory->set_fleet(this->reloaded_settings.current().fleet);
        }
    }

    void tick()
    {
        const auto now = base::now();
        if (now - this->last_settings_check >= settings_check_interval)
        {
            this->last_settings_check = now;
            if (this->reloaded_settings.has_changed())
            {
                this->reload("file");
            }
        }
        this->check_event_loop(now);
        if (now - this->last_connection_check >= connection_check_interval)
        {
            this->last_connection_check = now;
            this->check_connections();
        }
        const auto suspended = this->tables.suspensions.on_tick(now);
        if (suspended.count > 0)
        {
            this->tables.record_event(
                {0, "woke", 0, 0, "",
                 "gap_ms=" + std::to_string(suspended.count)});
            if (this->directory)
            {
                this->directory->on_resumed();
            }
        }
        this->network->resume_offers();
        this->outbound_calls.tick(now);
        this->inbound_calls.tick(now);
        if (this->directory)
        {
            this->directory->tick(now);
            this->quota->tick(now);
        }
        else
        {
            this->gossip->tick(now);
        }
        if (now - this->last_liveness_check >= liveness_check_interval)
        {
            this->last_liveness_check = now;
            this->network->check_liveness(
                this->outbound_calls.links_awaiting_answers());
        }
        if (now - this->last_reconnect >= reconnect_interval)
        {
            this->last_reconnect = now;
            this->outbound_calls.reconnect_lost_nodes();
        }
        if (this->stopping)
        {
            this->check_drained(now);
        }
        this->timer.expires_after(
            std::chrono::milliseconds(tick_interval.count));
        this->timer.async_wait(
            [this](std::error_code error)
            {
                if (!error)
                {
                    this->tick();
                }
            });
    }

    void check_event_loop(base::time_ms now)
    {
        const auto report =
            this->tables.event_loop.on_tick(now, process_cpu_time());
        if (!report)
        {
            return;
        }
        auto& metrics = this->tables.node_metrics;
        metrics.set_gauge("event_loop_delay_ms", report->mean_delay_ms);
        metrics.set_gauge("frame_delay_ms", report->mean_frame_delay_ms);
        metrics.set_gauge("processor_percent", report->processor_percent);
        if (report->mean_delay_ms + report->mean_frame_delay_ms <
            logged_delay_ms)
        {
            return;
        }
        // A warning, as informational lines are left out under load.
        LOG(WARNING) << "event=event_loop_delayed mean_ms="
                     << std::lround(report->mean_delay_ms)
                     << " longest_ms=" << report->longest_delay.count
                     << " frames=" << report->frames << " frame_delay_ms="
                     << std::lround(report->mean_frame_delay_ms)
                     << " processor_percent="
                     << std::lround(report->processor_percent)
                     << " calls_as_caller=" << this->outbound_calls.call_count()
                     << " calls_as_target=" << this->inbound_calls.call_count();
    }

    void check_connections()
    {
        const auto usage = http::check_connections(this->context);
        auto& metrics = this->tables.node_metrics;
        metrics.set_gauge(
            "client_held_bytes", static_cast<double>(usage.held_bytes));
        metrics.set_gauge(
            "client_connections", static_cast<double>(usage.connections));
        const auto held = this->tables.memory.held();
        metrics.set_gauge("call_held_bytes", static_cast<double>(held.calls));
        metrics.set_gauge(
            "response_held_bytes", static_cast<double>(held.responses));
        metrics.set_gauge(
            "answer_held_bytes", static_cast<double>(held.answers));
        metrics.on_event(
            "client_closed",
            static_cast<double>(usage.closed - this->last_usage.closed));
        metrics.on_event(
            "client_request_refused",
            static_cast<double>(usage.refused - this->last_usage.refused));
        if (usage.limiting != this->last_usage.limiting)
        {
            // A warning, as informational lines are left out under load.
            LOG(WARNING) << (usage.limiting ? "event=clients_limited"
                                            : "event=clients_unlimited")
                         << " held_bytes=" << usage.held_bytes
                         << " connections=" << usage.connections
                         << " closed=" << usage.closed
                         << " refused=" << usage.refused;
        }
        this->last_usage = usage;
    }

    void check_drained(base::time_ms now)
    {
        if (this->last_answers_end)
        {
            this->exit_when_written(now);
            return;
        }
        if (this->stop_repeated.exchange(false))
        {
            this->stop_schedule->on_repeated_request(now);
        }
        decisions::drain_load load;
        load.backend_busy = this->inbound_calls.call_count() > 0;
        load.idle = !load.backend_busy &&
                    this->outbound_calls.call_count() == 0 &&
                    this->network->unwritten_count() == 0 &&
                    this->caller_server->unwritten_count() == 0;
        switch (this->stop_schedule->on_tick(load, now))
        {
        case decisions::drain_step::serve:
            return;
        case decisions::drain_step::limit_calls:
            this->limit_calls();
            return;
        case decisions::drain_step::close_port:
            this->limit_calls();
            this->caller_server->close();
            return;
        case decisions::drain_step::recall:
            this->outbound_calls.recall_waiting(
                this->stop_schedule->latest_deadline());
            return;
        case decisions::drain_step::finish:
            LOG(INFO) << "event=drained";
            this->stop(0);
            return;
        case decisions::drain_step::abort:
            this->answer_left(now);
            return;
        }
    }

    void limit_calls()
    {
        const auto latest_deadline = this->stop_schedule->latest_deadline();
        this->tables.latest_deadline_ms = latest_deadline.count;
        this->inbound_calls.refuse_waiting(latest_deadline);
    }

    //! Answers the calls that are left, so that no connection is closed without
    //! a word on what may be sent again.
    void answer_left(base::time_ms now)
    {
        LOG(WARNING) << "event=answer_left calls_as_caller="
                     << this->outbound_calls.call_count()
                     << " calls_as_target=" << this->inbound_calls.call_count();
        this->tables.latest_deadline_ms = INT64_MIN;
        this->outbound_calls.answer_all();
        this->last_answers_end = now + last_answers_time;
    }

    void exit_when_written(base::time_ms now)
    {
        const bool written = this->caller_server->unwritten_count() == 0;
        if (written || now >= *this->last_answers_end)
        {
            this->force_stop("drain limit");
        }
    }

    void force_stop(const char* cause)
    {
        LOG(WARNING) << "event=cut cause=\"" << cause << "\" calls_as_caller="
                     << this->outbound_calls.call_count()
                     << " calls_as_target=" << this->inbound_calls.call_count();
        this->stop(exit_forced);
    }

    void stop(int code)
    {
        // Until the workers have ended, requests still arrive.
        this->tables.latest_deadline_ms = INT64_MIN;
        const std::scoped_lock lock(this->stop_mutex);
        this->stopped = true;
        this->exit_code = code;
        this->stop_changed.notify_all();
    }

    platform_adapter adapter;
    settings_file reloaded_settings;
    base::time_ms last_settings_check;
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work_guard;
    node_tables tables;
    target_side inbound_calls;
    caller_side outbound_calls;
    std::unique_ptr<document_gossip> gossip;
    std::unique_ptr<quota_exchange> quota;
    std::unique_ptr<directory_follower> directory;
    std::unique_ptr<admin_api> admin;
    std::unique_ptr<transport::peer_network> network;
    std::unique_ptr<http::http_server> caller_server;
    std::unique_ptr<http::http_server> admin_server;
    std::unique_ptr<http::http_server> ready_server;
    asio::signal_set signals;
    asio::steady_timer timer;
    frame_dispatcher frames{
        this->tables, this->inbound_calls, this->outbound_calls};
    std::atomic<bool> stopping{false};
    //! The stop was requested again since the last tick.
    std::atomic<bool> stop_repeated{false};
    //! Set before \c stopping, by the thread that handles the signal; used by
    //! tick() only from then on.
    std::optional<decisions::drain_schedule> stop_schedule;
    //! Set once the calls that were left have been answered: when the process
    //! exits although answers are not written.
    std::optional<base::time_ms> last_answers_end;
    base::time_ms last_connection_check;
    http::connection_usage last_usage;
    base::time_ms last_liveness_check;
    base::time_ms last_reconnect;
    std::vector<std::thread> workers;
    std::mutex stop_mutex;
    std::condition_variable stop_changed;
    bool stopped{false};
    int exit_code{0};
};
} // namespace

base::result<std::unique_ptr<node>> node::start(
    const schema::node_settings& settings, const std::string& file,
    const platform_adapter& adapter)
{
    auto new_node = std::make_unique<running_node>(settings, file, adapter);
    BOOST_LEAF_CHECK(new_node->open());
    return std::unique_ptr<node>(std::move(new_node));
}
} // namespace bilberrytally::node
