#pragma once

#include "base/guarded.hpp"
#include "decisions/document_store.hpp"
#include "decisions/key_records.hpp"
#include "decisions/policy_variant.hpp"
#include "decisions/reroute_delay.hpp"
#include "decisions/resend_gate.hpp"
#include "decisions/retry_budget.hpp"
#include "decisions/retry_window.hpp"
#include "decisions/target_table.hpp"
#include "directory/dialect.hpp"
#include "directory/route_map.hpp"
#include "node/internal/freeze_guard.hpp"
#include "node/internal/metrics.hpp"
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
//! What the caller's side knows of all services.
struct routing_table
{
    std::map<std::string, decisions::target_table> services;
    decisions::retry_ratio retries;
    //! Used in place of \c retries where a store publishes the routes.
    decisions::retry_window fleet_retries;
    decisions::resend_gate resends;
    std::map<std::string, decisions::reroute_delay> delays;
    std::mt19937_64 random;
};

//! Ranks of the shared tables; a thread takes locks in rising rank only.
//! Innermost are the connections (60) and the time line (90).
constexpr int keys_rank = 10;
constexpr int documents_rank = 15;
constexpr int routes_rank = 17;
constexpr int calls_rank = 20;
constexpr int serving_rank = 30;
constexpr int routing_rank = 40;

//! Tables that the parts of a node share.
struct node_tables
{
    node_tables(
        asio::io_context& context, schema::node_settings settings,
        std::uint64_t incarnation);

    //! Policy in force for a service, by value.
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

    //! Class by which a call is shed.
    std::uint32_t shed_class(const schema::call& call) const;

    //! Records an event in the time line and counts it.
    void note(timeline::event entry);

    asio::io_context& context;
    const schema::node_settings settings;
    const std::uint64_t incarnation;
    const decisions::policy_variant variant;
    //! Set where a platform's store publishes routes and targets.
    std::optional<directory::dialect> names;
    freeze_guard freezes;
    metrics counts;
    timeline::timeline events;
    std::atomic<bool> draining{false};
    //! Ids of calls down the graph name the requests that cause them.
    std::atomic<bool> chains_linked{false};
    //! When a request that began here failed last, ms on the monotonic clock.
    std::atomic<std::int64_t> last_failure{INT64_MIN / 2};
    base::guarded<decisions::key_records, keys_rank> keys;
    base::guarded<decisions::document_store, documents_rank> documents;
    base::guarded<directory::route_map, routes_rank> routes;
    base::guarded<routing_table, routing_rank> routing;
};
} // namespace bilberrytally::node
