#pragma once

#include "base/guarded.hpp"
#include "decisions/access_rule.hpp"
#include "decisions/document_store.hpp"
#include "decisions/fleet_retry_budget.hpp"
#include "decisions/key_records.hpp"
#include "decisions/policy_variant.hpp"
#include "decisions/resend_limiter.hpp"
#include "decisions/response_memory.hpp"
#include "decisions/retry_after.hpp"
#include "decisions/retry_budget.hpp"
#include "decisions/slow_attempt_timeout.hpp"
#include "decisions/target_table.hpp"
#include "directory/header_names.hpp"
#include "directory/route_map.hpp"
#include "directory/workspace_directory.hpp"
#include "node/internal/event_loop_monitor.hpp"
#include "node/internal/memory_account.hpp"
#include "node/internal/metrics.hpp"
#include "node/internal/suspension_detector.hpp"
#include "schema/settings.hpp"
#include "timeline/timeline.hpp"

#include <asio/io_context.hpp>

#include <atomic>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace bilberrytally::node
{
//! Targets and retry state of all services, for outbound calls.
struct routing_table
{
    std::map<std::string, decisions::target_table> services;
    //! Retry tokens by service.
    decisions::retry_throttle retries;
    //! Limits retries in routed mode, in place of \c retries: to a share of the
    //! first attempts of a service within a time window, plus a fixed number.
    decisions::fleet_retry_budget routed_retries;
    //! Since when services refuse requests for load, in routed mode.
    decisions::overload_periods overloads;
    //! Limits requests that are sent again before their Retry-After.
    decisions::resend_limiter resends;
    //! By latency group.
    std::map<std::string, decisions::slow_attempt_timeout> reroute_delays;
    //! Memory for the responses of outbound calls.
    decisions::response_memory responses{UINT64_MAX};
    std::mt19937_64 random;
};

//! Who may send requests, in routed mode.
struct access_table
{
    directory::workspace_directory workspaces;
    decisions::access_limits limits;
};

//! Lock ranks of the shared tables. A thread acquires locks in ascending rank
//! only, which rules out deadlocks. The connections (60) and the timeline (90)
//! have the highest ranks.
constexpr int keys_rank = 10;
constexpr int documents_rank = 15;
constexpr int routes_rank = 17;
constexpr int outbound_calls_rank = 20;
constexpr int inbound_calls_rank = 30;
constexpr int routing_rank = 40;
constexpr int access_rank = 45;
constexpr int revision_rank = 50;

//! Interval of the node's repeating work.
constexpr base::duration_ms tick_interval{10};

//! State that the parts of a node share.
struct node_tables
{
    node_tables(
        asio::io_context& context, schema::node_settings settings,
        std::uint64_t incarnation);

    //! Copy of the policy in force for a service; nothing for an unknown one.
    std::optional<schema::service_policy> policy(const std::string& service);

    //! Runs \p function on the targets of a service, if it is listed.
    template <class Function>
    void with_targets(const std::string& service, Function&& function)
    {
        this->routing.with(
            [&](routing_table& table)
            {
                const auto found = table.services.find(service);
                if (found != table.services.end())
                {
                    function(found->second, table);
                }
            });
    }

    //! True if this is the node beside the target.
    bool is_local(const decisions::target_address& target) const;

    //! True if the ids of nested calls name the calls that cause them.
    bool links_nested_calls() const;

    //! Priority class of a call, to be compared with a shed threshold.
    std::uint32_t shed_class(const schema::call& call) const;

    //! Records an event in the timeline, counts it and writes it to the log.
    //! Events of kind "answer" are not logged.
    void record_event(timeline::event entry);

    //! Age of the proof that this node's copy of the store is the newest state;
    //! nothing without proof.
    std::optional<base::duration_ms> view_age(base::time_ms now) const;

    //! Store revision up to which the targets are known, in routed mode.
    schema::store_revision known_directory_revision();

    //! Latest deadline of the calls that are still taken.
    base::time_ms latest_deadline() const;

    asio::io_context& context;
    const schema::node_settings settings;
    //! Random number that the process drew at its start.
    const std::uint64_t incarnation;
    const base::time_ms started;
    const decisions::policy_variant variant;
    //! Names of the platform's headers. Set in routed mode only, in which a
    //! metadata store publishes routes and targets.
    std::optional<directory::header_names> platform_headers;
    suspension_detector suspensions;
    event_loop_monitor event_loop;
    metrics node_metrics;
    timeline::timeline events;
    memory_account memory;
    std::atomic<bool> draining{false};
    //! Calls with a later deadline are not taken, in ms on the monotonic clock.
    //! Set late in a planned stop, after which this process answers nothing.
    std::atomic<std::int64_t> latest_deadline_ms{INT64_MAX};
    //! See known_directory_revision().
    base::guarded<schema::store_revision, revision_rank> directory_revision;
    //! When the store was asked for the newest state that this node's copy is
    //! proven to hold, in ms on the monotonic clock; INT64_MIN / 2 without
    //! proof, so that the time since then does not overflow.
    std::atomic<std::int64_t> view_proven_at_ms{INT64_MIN / 2};
    //! The configuration has workspaces, so that requests are judged by the
    //! proof of freshness.
    std::atomic<bool> needs_proof{false};
    //! Longest time-out of the routes in force, in ms.
    std::atomic<std::int64_t> longest_timeout_ms{0};
    //! Set once the id of a nested call has identified its parent call.
    std::atomic<bool> parent_ids_seen{false};
    //! Time of the last failure of an outbound call, in ms on the monotonic
    //! clock. INT64_MIN / 2 for none, so that the time since then does not
    //! overflow.
    std::atomic<std::int64_t> last_outbound_failure_ms{INT64_MIN / 2};
    base::guarded<decisions::key_records, keys_rank> keys;
    base::guarded<decisions::document_store, documents_rank> documents;
    base::guarded<directory::route_map, routes_rank> routes;
    base::guarded<access_table, access_rank> access;
    base::guarded<routing_table, routing_rank> routing;
};
} // namespace bilberrytally::node
