#pragma once

#include "decisions/quota_grants.hpp"
#include "decisions/quota_slots.hpp"
#include "decisions/quota_tokens.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

//! A fleet of nodes with one workspace in simulated time, for tests of the
//! quota.
namespace bilberrytally::decisions::quota_fleet
{
constexpr std::uint64_t workspace = 42;
constexpr std::int64_t tick_ms = 10;
constexpr base::duration_ms window{5000};

struct link_options
{
    std::int64_t min_delay_ms{0};
    std::int64_t max_delay_ms{3};
    double loss{0};
    //! Share of the datagrams that are delayed by up to 2 s or arrive twice.
    double disorder{0};
};

struct listed_node
{
    bool listed{true};
    bool leaving{false};
    std::uint64_t version{1};
};

//! What a read of the store returns.
struct snapshot
{
    std::vector<quota_node> nodes;
    std::size_t configuration{0};
    std::int64_t asked_at{0};
    std::int64_t arrives_at{0};
};

struct node
{
    std::string address;
    std::string zone;
    bool up{true};
    bool frozen{false};
    bool cut_from_store{false};
    std::unique_ptr<quota_slots> slots;
    std::unique_ptr<quota_grants> grants;
    std::unique_ptr<quota_tokens> tokens;
    std::optional<std::int64_t> proven_at;
    std::optional<std::size_t> configuration;
    std::optional<snapshot> read;
    std::int64_t next_read{0};
    double demand_per_s{0};
    double demand_left{0};
};

struct datagram
{
    std::int64_t arrives_at{0};
    std::size_t from{0};
    std::size_t to{0};
    std::uint64_t number{0};
    std::optional<slot_ask> ask;
    std::uint32_t slot{0};
    slot_grant grant;
};

class fleet
{
public:
    fleet(
        std::uint64_t seed, std::size_t nodes, std::size_t zones,
        base::duration_ms max_proof_age, quota_limit limit)
        : random(seed),
          max_proof_age(max_proof_age), limits{limit}, received_at{0}
    {
        for (std::size_t i = 0; i < nodes; ++i)
        {
            node added;
            added.address = "10.0.0." + std::to_string(i);
            added.zone = std::string(1, static_cast<char>('a' + i % zones));
            this->nodes.push_back(std::move(added));
            this->listed.emplace_back();
            this->start(i);
        }
    }

    std::int64_t draw(std::int64_t from, std::int64_t to)
    {
        return std::uniform_int_distribution<std::int64_t>(from, to)(
            this->random);
    }

    bool chance(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(this->random) <
               probability;
    }

    //! Starts the process of a node, with empty memory.
    void start(std::size_t index)
    {
        auto& started = this->nodes[index];
        started.up = true;
        started.frozen = false;
        started.slots = std::make_unique<quota_slots>(
            started.address, started.zone, this->max_proof_age * 10);
        started.grants = std::make_unique<quota_grants>(this->max_proof_age);
        started.tokens = std::make_unique<quota_tokens>(window, this->random());
        started.proven_at.reset();
        started.configuration.reset();
        started.read.reset();
        started.next_read = this->now;
    }

    void set_limit(quota_limit limit)
    {
        this->limits.push_back(limit);
        this->received_at.push_back(INT64_MAX);
    }

    //! Advances by one tick.
    void step()
    {
        this->now += tick_ms;
        this->deliver();
        for (std::size_t i = 0; i < this->nodes.size(); ++i)
        {
            auto& stepped = this->nodes[i];
            if (stepped.up && !stepped.frozen)
            {
                this->read_store(stepped);
                this->serve_callers(i);
                this->run_tick(i);
            }
        }
        this->note_received_limits();
    }

    //! Requests that arrive at a node now.
    void arrive(std::size_t index, std::size_t count)
    {
        auto& entry = this->nodes[index];
        for (std::size_t i = 0; i < count && entry.configuration; ++i)
        {
            ++this->arrived;
            const auto decision =
                entry.tokens->take(workspace, ++this->request, {this->now});
            if (decision)
            {
                this->on_decision(*decision);
            }
        }
    }

    //! Largest excess over the bound in any window; at most 0 if it holds.
    //! \p rate_factor and the others define the bound.
    double
    largest_excess(double rate_seconds, double burst_factor, double extra) const
    {
        double worst = -extra;
        std::size_t end = 0;
        for (std::size_t i = 0; i < this->granted.size(); ++i)
        {
            while (end < this->granted.size() &&
                   this->granted[end] < this->granted[i] + window.count)
            {
                ++end;
            }
            const auto& limit = this->limit_at(this->granted[i]);
            const double bound = limit.rate_per_s * rate_seconds +
                                 limit.burst * burst_factor + extra;
            worst = std::max(worst, static_cast<double>(end - i) - bound);
        }
        return worst;
    }

    std::mt19937_64 random;
    base::duration_ms max_proof_age;
    std::int64_t now{0};
    std::vector<node> nodes;
    std::vector<listed_node> listed;
    link_options link;
    //! Zone whose nodes reach only each other; empty for none.
    std::string cut_zone;
    std::size_t arrived{0};
    std::size_t refused{0};
    std::size_t asks{0};
    std::size_t datagrams{0};
    std::int64_t longest_wait{0};
    //! Times at which requests were granted.
    std::vector<std::int64_t> granted;
    //! Largest number of tokens that a slot issued beyond what one bucket
    //! could, whichever nodes held it.
    double slot_excess{0};

    //! Largest number of requests that were granted in any period beyond the
    //! tokens issued since \p lifetime before its begin.
    std::int64_t lifetime_excess(base::duration_ms lifetime) const
    {
        const auto ticks = static_cast<std::size_t>(this->now / tick_ms) + 1;
        std::vector<std::int64_t> balance(ticks, 0);
        std::vector<std::int64_t> issued_until(ticks, 0);
        for (const auto& [time, count] : this->issued)
        {
            issued_until[static_cast<std::size_t>(time / tick_ms)] += count;
        }
        for (const auto time : this->granted)
        {
            ++balance[static_cast<std::size_t>(time / tick_ms)];
        }
        const auto life = static_cast<std::size_t>(lifetime.count / tick_ms);
        std::int64_t used = 0;
        std::int64_t lowest = 0;
        std::int64_t worst = 0;
        for (std::size_t tick = 0; tick < ticks; ++tick)
        {
            // Requests before this tick against tokens that have expired in it.
            const auto expired =
                tick > life ? issued_until[tick - life - 1] : 0;
            lowest = std::min(lowest, used - expired);
            issued_until[tick] += tick > 0 ? issued_until[tick - 1] : 0;
            used += balance[tick];
            worst = std::max(worst, used - issued_until[tick] - lowest);
        }
        return worst;
    }

private:
    const quota_limit& limit_at(std::int64_t time) const
    {
        std::size_t index = this->limits.size() - 1;
        while (index > 0 && this->received_at[index] > time)
        {
            --index;
        }
        return this->limits[index];
    }

    void on_decision(const quota_decision& decision)
    {
        if (decision.granted)
        {
            this->granted.push_back(this->now);
        }
        else
        {
            ++this->refused;
        }
    }

    void note_received_limits()
    {
        for (std::size_t i = 1; i < this->limits.size(); ++i)
        {
            const bool received = std::all_of(
                this->nodes.begin(), this->nodes.end(),
                [&](const auto& member) { return has_received(member, i); });
            if (this->received_at[i] == INT64_MAX && received)
            {
                this->refill_levels(this->limit_at(this->now));
                this->received_at[i] = this->now;
            }
        }
    }

    //! True if a node cannot apply a configuration before \p version any more.
    static bool has_received(const node& member, std::size_t version)
    {
        if (!member.up)
        {
            return true;
        }
        return member.configuration
                   ? *member.configuration >= version
                   : !member.read || member.read->configuration >= version;
    }

    void read_store(node& reader)
    {
        if (reader.read && reader.read->arrives_at <= this->now)
        {
            const auto read = *reader.read;
            reader.read.reset();
            reader.slots->apply(read.nodes, {this->now});
            if (!reader.configuration ||
                *reader.configuration < read.configuration)
            {
                reader.configuration = read.configuration;
                const std::vector<quota_limit> limit{
                    this->limits[read.configuration]};
                reader.grants->apply(limit, {this->now});
                reader.tokens->apply(limit);
            }
            reader.proven_at = read.asked_at;
        }
        if (reader.cut_from_store || reader.read ||
            this->now < reader.next_read)
        {
            return;
        }
        snapshot read;
        read.asked_at = this->now;
        read.arrives_at =
            this->now + (this->chance(this->link.disorder)
                             ? this->draw(0, 2 * this->max_proof_age.count)
                             : this->draw(0, 30));
        read.configuration = this->limits.size() - 1;
        for (std::size_t i = 0; i < this->nodes.size(); ++i)
        {
            if (this->listed[i].listed)
            {
                read.nodes.push_back(
                    {this->nodes[i].address, this->nodes[i].zone,
                     this->listed[i].leaving, this->listed[i].version});
            }
        }
        reader.next_read =
            this->now + this->draw(20, this->max_proof_age.count / 3);
        reader.read = std::move(read);
    }

    void serve_callers(std::size_t index)
    {
        auto& entry = this->nodes[index];
        entry.demand_left +=
            entry.demand_per_s * static_cast<double>(tick_ms) / 1000;
        const auto count = entry.demand_left > 0
                               ? std::poisson_distribution<std::size_t>(
                                     entry.demand_left)(this->random)
                               : 0;
        entry.demand_left = 0;
        this->arrive(index, count);
    }

    void run_tick(std::size_t index)
    {
        auto& entry = this->nodes[index];
        entry.grants->on_proof(this->proof_age(entry), {this->now});
        const auto asks = entry.tokens->asks(
            [&](std::uint64_t id) { return entry.slots->order(id); },
            {this->now});
        for (const auto& ask : asks.asks)
        {
            ++this->asks;
            const auto holder = entry.slots->holder(ask.workspace, ask.slot);
            for (std::size_t to = 0; to < this->nodes.size(); ++to)
            {
                if (this->nodes[to].address == holder)
                {
                    this->send({0, index, to, asks.number, ask, ask.slot, {}});
                }
            }
        }
        for (const auto& decided : entry.tokens->decide({this->now}))
        {
            this->on_decision(decided.decision);
        }
        entry.tokens->changes({this->now});
    }

    std::optional<base::duration_ms> proof_age(const node& member) const
    {
        if (!member.proven_at)
        {
            return std::nullopt;
        }
        return base::duration_ms{this->now - *member.proven_at};
    }

    void send(datagram sent)
    {
        ++this->datagrams;
        const bool crosses_cut =
            !this->cut_zone.empty() &&
            (this->nodes[sent.from].zone == this->cut_zone) !=
                (this->nodes[sent.to].zone == this->cut_zone);
        if (crosses_cut || this->chance(this->link.loss))
        {
            return;
        }
        sent.arrives_at =
            this->now +
            this->draw(this->link.min_delay_ms, this->link.max_delay_ms);
        if (this->chance(this->link.disorder))
        {
            this->in_flight.push_back(sent);
            sent.arrives_at += this->draw(0, 2000);
        }
        this->in_flight.push_back(sent);
    }

    //! Delivers what is due. A frozen node gets its datagrams later.
    void deliver()
    {
        std::vector<datagram> due;
        std::erase_if(
            this->in_flight,
            [&](const auto& sent)
            {
                const auto& receiver = this->nodes[sent.to];
                const bool held = receiver.up && receiver.frozen;
                const bool is_due = sent.arrives_at <= this->now && !held;
                if (is_due && receiver.up)
                {
                    due.push_back(sent);
                }
                return is_due;
            });
        for (const auto& sent : due)
        {
            this->on_datagram(sent);
        }
    }

    void on_datagram(const datagram& sent)
    {
        auto& receiver = this->nodes[sent.to];
        if (!sent.ask)
        {
            receiver.tokens->on_grant(
                sent.number, workspace, sent.slot, sent.grant, {this->now});
            return;
        }
        datagram reply;
        reply.from = sent.to;
        reply.to = sent.from;
        reply.number = sent.number;
        reply.slot = sent.slot;
        reply.grant = receiver.grants->grant(
            workspace, sent.slot, sent.ask->wanted,
            receiver.slots->held_since(workspace, sent.slot), {this->now});
        this->record_issued(sent.slot, reply.grant.granted);
        this->send(reply);
    }

    //! Refills the buckets under the limit that was in force until now.
    void refill_levels(const quota_limit& limit)
    {
        const auto elapsed_s =
            static_cast<double>(this->now - this->levels_at) / 1000;
        this->levels_at = this->now;
        for (auto& level : this->slot_levels)
        {
            level = std::min(
                limit.slot_capacity(),
                level + elapsed_s * limit.slot_rate_per_s());
        }
    }

    void record_issued(std::uint32_t slot, std::uint32_t count)
    {
        this->refill_levels(this->limit_at(this->now));
        auto& level = this->slot_levels[slot];
        level -= count;
        this->slot_excess = std::max(this->slot_excess, -level);
        this->issued.emplace_back(this->now, count);
    }

    //! Tokens that a bucket would hold which one node keeps for each slot; full
    //! at first.
    std::array<double, quota_slot_count> slot_levels{};
    std::int64_t levels_at{0};
    //! Times and numbers of tokens that holders issued.
    std::vector<std::pair<std::int64_t, std::int64_t>> issued;

    //! All limits of the workspace, in the order in which they were written.
    std::vector<quota_limit> limits;
    //! When all running nodes had received each limit.
    std::vector<std::int64_t> received_at;
    std::vector<datagram> in_flight;
    std::uint64_t request{0};
};
} // namespace bilberrytally::decisions::quota_fleet
