#include "node/internal/node_tables.hpp"

#include "decisions/admission.hpp"
#include "node/internal/memory_limits.hpp"

#include <glog/logging.h>

#include <algorithm>

namespace bilberrytally::node
{
namespace
{
//! Bounds the records of sends under idempotency keys. Where a record was
//! dropped, a later send with its issued key is refused.
constexpr std::size_t max_key_records = 100000;
//! How long an issued key stays valid without being used, in ms. Records are
//! kept for twice as long.
constexpr base::duration_ms key_lifetime{600000};
} // namespace

node_tables::node_tables(
    asio::io_context& context, schema::node_settings settings,
    std::uint64_t incarnation)
    : context(context), settings(std::move(settings)), incarnation(incarnation),
      started(base::now()),
      variant(decisions::make_policy_variant(this->settings.policy.variant)),
      suspensions(base::now()), event_loop(tick_interval, base::now()),
      events(this->settings.node.timeline_events),
      memory(context, machine_bytes(this->settings)),
      keys(max_key_records, key_lifetime)
{
    this->routing.with(
        [&](routing_table& table)
        {
            table.random.seed(incarnation);
            table.responses = decisions::response_memory(
                this->settings.caller.max_held_bytes);
        });
}

std::optional<schema::service_policy>
node_tables::policy(const std::string& service)
{
    return this->documents.with(
        [&](auto& store) -> std::optional<schema::service_policy>
        {
            const auto* policy = store.policy(service);
            return policy == nullptr ? std::nullopt : std::optional(*policy);
        });
}

bool node_tables::is_local(const decisions::target_address& target) const
{
    return target.host == this->settings.node.address &&
           target.port == this->settings.node.node_port;
}

std::optional<base::duration_ms> node_tables::view_age(base::time_ms now) const
{
    const auto proven_at_ms = this->view_proven_at_ms.load();
    if (proven_at_ms < 0)
    {
        return std::nullopt;
    }
    return now - base::time_ms{proven_at_ms};
}

schema::store_revision node_tables::known_directory_revision()
{
    return this->directory_revision.with(
        [](const schema::store_revision& revision) { return revision; });
}

base::time_ms node_tables::latest_deadline() const
{
    return {this->latest_deadline_ms};
}

bool node_tables::links_nested_calls() const
{
    return this->platform_headers && this->platform_headers->id_separator != 0;
}

std::uint32_t node_tables::shed_class(const schema::call& call) const
{
    return this->platform_headers
               ? decisions::shed_class(call.priority, call.depth)
               : std::min(call.priority, decisions::priority_classes - 1);
}

void node_tables::record_event(timeline::event entry)
{
    this->node_metrics.on_event(entry.kind);
    if (entry.kind != "answer")
    {
        LOG(INFO) << "event=" << entry.kind << " call=" << entry.call
                  << " subject=" << entry.subject << ' ' << entry.detail;
    }
    this->events.record(std::move(entry));
}
} // namespace bilberrytally::node
