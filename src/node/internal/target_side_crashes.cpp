#include "base/hash.hpp"
#include "node/internal/target_side.hpp"
#include "transport/message_codec.hpp"

#include <algorithm>
#include <random>

// The part of target_side that finds out which requests crash the backend
// server.
namespace bilberrytally::node
{
namespace
{
using schema::refusal;

//! Nodes that are asked for their crash reports in a round. All nodes of a
//! service know the same ones, unless they have just started, too.
constexpr std::size_t queried_peers = 3;
constexpr std::uint32_t max_crash_query_rounds = 2;
constexpr base::duration_ms crash_query_interval{1000};

std::string crash_id(const std::string& instance, std::uint64_t number)
{
    return instance + "#" + std::to_string(number);
}
} // namespace

std::string target_side::local_instance() const
{
    const auto& local_node = this->tables.settings.node;
    std::string instance = local_node.instance;
    this->tables.with_targets(
        local_node.service,
        [&](auto& targets, routing_table&)
        {
            for (const auto& row : targets.view(base::now()))
            {
                if (this->tables.is_local(row.address))
                {
                    instance = row.address.instance;
                }
            }
        });
    return instance;
}

void target_side::check_after_disconnect(
    std::uint64_t id, const schema::answer& answer)
{
    bool probe_run = false;
    this->inbound.with(
        [&](inbound_table& table)
        {
            const auto found = table.calls.find(id);
            if (found != table.calls.end())
            {
                found->second.state = call_state::checking_backend;
                probe_run = found->second.is_probe_run;
            }
        });
    this->monitor.check_crashed(
        [this, id, answer, probe_run](bool crashed)
        {
            // If a suspected request loses its connection during its probe run,
            // it is taken to have crashed the backend server again, even if a
            // connection is accepted now: the backend server may have restarted
            // already.
            if (crashed || probe_run)
            {
                this->on_backend_crash(id, answer, crashed);
                return;
            }
            this->remember_unconfirmed_run(id);
            this->finish(id, answer, decisions::completion::failed, {0});
        });
}

void target_side::remember_unconfirmed_run(std::uint64_t id)
{
    this->inbound.with(
        [&](inbound_table& table)
        {
            const auto found = table.calls.find(id);
            if (found != table.calls.end())
            {
                table.unconfirmed.add(
                    found->second.message.digest, base::now());
            }
        });
}

void target_side::on_backend_refused()
{
    if (!this->monitor.on_refused())
    {
        return;
    }
    std::vector<schema::crash_report> reports;
    const auto instance = this->local_instance();
    this->inbound.with(
        [&](inbound_table& table)
        {
            const auto now = base::now();
            ++table.crash_count;
            for (const auto fingerprint : table.unconfirmed.take_suspects(now))
            {
                schema::crash_report report;
                report.service = this->tables.settings.node.service;
                report.fingerprint = fingerprint;
                report.death = crash_id(instance, table.crash_count);
                table.quarantine.record_crash(fingerprint, report.death, now);
                reports.push_back(std::move(report));
            }
        });
    for (const auto& report : reports)
    {
        this->report_crash(report);
    }
}

void target_side::report_crash(const schema::crash_report& report)
{
    this->tables.record_event(
        {0, "strike", 0, 0, report.service,
         "death=" + report.death +
             " fingerprint=" + base::to_hex(report.fingerprint)});
    this->broadcast_crash_report(report);
}

void target_side::on_backend_crash(
    std::uint64_t id, schema::answer answer, bool refused)
{
    if (refused)
    {
        this->on_backend_refused();
    }
    schema::crash_report report;
    const auto instance = this->local_instance();
    this->inbound.with(
        [&](inbound_table& table)
        {
            const auto found = table.calls.find(id);
            if (found == table.calls.end())
            {
                return;
            }
            // A backend server that restarted at once was never seen down.
            table.crash_count += refused ? 0 : 1;
            const auto& call = found->second.message;
            report.service = call.service;
            report.fingerprint = call.digest;
            report.death = crash_id(instance, table.crash_count);
            table.quarantine.record_crash(
                call.digest, report.death, base::now());
        });
    if (!report.death.empty())
    {
        this->report_crash(report);
    }
    answer.struck = true;
    // The caller's node passes the crash id on with a retry.
    answer.body = report.death;
    this->finish(id, std::move(answer), decisions::completion::failed, {0});
}

void target_side::clear_quarantine_after_success(
    const inbound_call& call, const schema::answer& answer)
{
    if (answer.struck || answer.reason != refusal::none)
    {
        return;
    }
    schema::crash_report cleared;
    cleared.service = call.message.service;
    cleared.fingerprint = call.message.digest;
    cleared.cleared = true;
    this->on_crash_report(cleared);
    this->broadcast_crash_report(cleared);
}

void target_side::on_crash_report(const schema::crash_report& report)
{
    this->inbound.with(
        [&](inbound_table& table)
        {
            if (report.cleared)
            {
                table.quarantine.clear(report.fingerprint);
                return;
            }
            const base::duration_ms age{
                static_cast<std::int64_t>(report.age_ms)};
            table.quarantine.record_crash(
                report.fingerprint, report.death, base::now() - age);
        });
}

void target_side::on_crash_query(
    transport::link_id link, const schema::crash_query& query)
{
    const auto& service = this->tables.settings.node.service;
    if (query.service != service)
    {
        return;
    }
    const auto now = base::now();
    const auto records = this->inbound.with(
        [&](inbound_table& table) { return table.quarantine.records(now); });
    for (const auto& record : records)
    {
        schema::crash_report report;
        report.service = service;
        report.fingerprint = record.fingerprint;
        report.death = record.crash;
        report.age_ms =
            static_cast<std::uint64_t>((now - record.reported).count);
        this->network->send(
            link, transport::frame_kind::crash_report,
            transport::encode(report));
    }
}

std::vector<decisions::target_view> target_side::peer_targets() const
{
    std::vector<decisions::target_view> peers;
    this->tables.with_targets(
        this->tables.settings.node.service, [&](auto& targets, routing_table&)
        { peers = targets.view(base::now()); });
    std::erase_if(
        peers,
        [this](const auto& row) { return this->tables.is_local(row.address); });
    return peers;
}

void target_side::query_crash_reports(base::time_ms now)
{
    if (this->crash_query_rounds >= max_crash_query_rounds ||
        now < this->next_crash_query)
    {
        return;
    }
    auto peers = this->peer_targets();
    if (peers.empty())
    {
        return;
    }
    ++this->crash_query_rounds;
    this->next_crash_query = now + crash_query_interval;
    std::shuffle(
        peers.begin(), peers.end(), std::mt19937_64(base::random_bits()));
    peers.resize(std::min(peers.size(), queried_peers));
    const auto body = transport::encode(
        schema::crash_query{this->tables.settings.node.service});
    for (const auto& peer : peers)
    {
        this->network->send(
            this->network->link_to({peer.address.host, peer.address.port}),
            transport::frame_kind::crash_query, body);
    }
}

std::string target_side::crash_ids(std::uint64_t fingerprint)
{
    const auto crashes =
        this->inbound.with([&](inbound_table& table)
                           { return table.quarantine.crashes(fingerprint); });
    std::string lines;
    for (const auto& crash : crashes)
    {
        lines += crash + '\n';
    }
    return lines;
}

void target_side::broadcast_crash_report(const schema::crash_report& report)
{
    const auto body = transport::encode(report);
    for (const auto& peer : this->peer_targets())
    {
        const auto link =
            this->network->link_to({peer.address.host, peer.address.port});
        this->network->send(link, transport::frame_kind::crash_report, body);
    }
}
} // namespace bilberrytally::node
