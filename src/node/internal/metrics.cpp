#include "node/internal/metrics.hpp"

#include <prometheus/text_serializer.h>

namespace bilberrytally::node
{
namespace
{
//! Bounds of the histogram buckets in seconds.
const prometheus::Histogram::BucketBoundaries& duration_buckets_s()
{
    static const prometheus::Histogram::BucketBoundaries boundaries{
        0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10};
    return boundaries;
}

prometheus::Histogram& add_histogram(
    prometheus::Registry& registry, const std::string& name,
    const std::string& help)
{
    return prometheus::BuildHistogram()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({}, duration_buckets_s());
}
} // namespace

metrics::metrics()
    : registry(std::make_shared<prometheus::Registry>()),
      requests(prometheus::BuildCounter()
                   .Name("bilberrytally_requests_total")
                   .Help("Callers' requests by outcome.")
                   .Register(*this->registry)),
      events(prometheus::BuildCounter()
                 .Name("bilberrytally_events_total")
                 .Help("Events by kind.")
                 .Register(*this->registry)),
      gauges(prometheus::BuildGauge()
                 .Name("bilberrytally_state")
                 .Help("Current state by name.")
                 .Register(*this->registry)),
      workspace_rates(
          prometheus::BuildGauge()
              .Name("bilberrytally_workspace_requests_per_second")
              .Help("Requests with a quota by workspace and outcome: "
                    "the heaviest workspaces, the rest together.")
              .Register(*this->registry)),
      request_seconds(add_histogram(
          *this->registry, "bilberrytally_request_duration_seconds",
          "Time from a caller's request to its response.")),
      queue_seconds(add_histogram(
          *this->registry, "bilberrytally_queue_duration_seconds",
          "Time that inbound calls wait for the local backend server.")),
      service_seconds(add_histogram(
          *this->registry, "bilberrytally_service_duration_seconds",
          "Service time of the local backend server."))
{
}

void metrics::on_request(
    const std::string& service, base::verdict verdict, schema::refusal reason,
    std::uint32_t priority, double seconds)
{
    this->requests
        .Add(
            {{"service", service},
             {"verdict", std::string(base::to_string(verdict))},
             {"reason", std::string(schema::to_string(reason))},
             {"priority", std::to_string(priority)}})
        .Increment();
    this->request_seconds.Observe(seconds);
}

void metrics::on_event(const std::string& kind, double count)
{
    this->events.Add({{"kind", kind}}).Increment(count);
}

void metrics::on_backend_call(double wait_seconds, double service_seconds)
{
    this->queue_seconds.Observe(wait_seconds);
    this->service_seconds.Observe(service_seconds);
}

void metrics::set_gauge(const std::string& name, double value)
{
    this->gauges.Add({{"name", name}}).Set(value);
}

void metrics::set_workspace_use(const std::vector<workspace_use>& uses)
{
    for (auto* gauge : this->current_workspace_rates)
    {
        this->workspace_rates.Remove(gauge);
    }
    this->current_workspace_rates.clear();
    const auto add = [this](
                         const std::string& workspace,
                         const std::string& outcome, double per_s)
    {
        auto& gauge = this->workspace_rates.Add(
            {{"workspace", workspace}, {"outcome", outcome}});
        gauge.Set(per_s);
        this->current_workspace_rates.push_back(&gauge);
    };
    for (const auto& use : uses)
    {
        add(use.workspace, "granted", use.granted_per_s);
        add(use.workspace, "refused", use.refused_per_s);
    }
}

std::string metrics::expose() const
{
    return prometheus::TextSerializer().Serialize(this->registry->Collect());
}
} // namespace bilberrytally::node
