// Random histories of a store that is restored from backups, and of the views
// that nodes have of it.
#include "directory/tests/restore_testing.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>

using namespace bilberrytally;
using namespace bilberrytally::directory;
using namespace restore_testing;

namespace
{
constexpr base::duration_ms removal_hold{2000};
constexpr std::int64_t step_ms = 100;
//! Targets write their entries again within this time after a restore.
constexpr std::int64_t rewrite_ms = 1000;
//! Entries of targets that have ended leave the store this long after a
//! restore: three heartbeats.
constexpr std::int64_t expiry_ms = 4500;
//! Longest time between two reads of the store by one node.
constexpr std::int64_t read_interval_ms = 400;
constexpr std::size_t node_count = 4;
constexpr std::size_t target_count = 6;
//! Chance in a thousand of each event in one step.
constexpr std::uint64_t event_chance = 30;

//! A process of a target.
struct process
{
    std::uint64_t started_at{1};
    std::uint64_t report{1};
    bool runs{true};
    bool drains{false};
    //! When it writes its entry next; INT64_MAX for never.
    std::int64_t writes_at{0};
};

//! State of the store, as a backup keeps it.
struct store_state
{
    std::uint64_t number{10};
    std::map<std::string, schema::published_item> items;
    //! All changes, removals included.
    std::vector<schema::published_item> history;
};

//! Instance and start of a process.
using process_id = std::pair<std::string, std::uint64_t>;

//! A node's view and what must hold for it.
struct node
{
    fleet_view view{decode, removal_hold};
    std::int64_t reads_at{0};
    std::uint64_t highest_version{0};
    //! Processes that the view has listed.
    std::set<process_id> listed;
    //! Processes that the view has listed as draining, or has dropped after
    //! their end.
    std::set<process_id> left;
};

//! The store, the targets and the nodes of one history.
class history
{
public:
    explicit history(std::uint64_t seed) : random(seed)
    {
        this->write("c", std::to_string(this->version));
        for (std::size_t index = 0; index < target_count; ++index)
        {
            this->write_entry(index);
        }
    }

    void run(std::int64_t duration_ms, bool with_events)
    {
        const auto end = this->now + duration_ms;
        while (this->now < end)
        {
            this->now += step_ms;
            this->heal_store();
            if (with_events)
            {
                this->draw_events();
            }
            for (auto& member : this->nodes)
            {
                this->read_store(member, with_events);
                member.view.tick({this->now});
                this->check(member);
            }
            this->exchange_lists(with_events);
        }
    }

    //! After calm all views hold what the store holds.
    void check_agreement()
    {
        for (auto& member : this->nodes)
        {
            RC_ASSERT(
                member.view.revision() ==
                schema::store_revision(this->epoch, this->store.number));
            RC_ASSERT(member.view.configuration()->version == this->version);
            std::map<std::string, target_phase> known;
            for (const auto& target : member.view.targets("s"))
            {
                known["t/" + target.instance] = target.phase;
            }
            std::map<std::string, target_phase> listed;
            for (const auto& [key, listed_item] : this->store.items)
            {
                if (key != "c")
                {
                    const auto decoded = decode(listed_item);
                    listed[key] = std::get<target_entry>(decoded).phase;
                }
            }
            RC_ASSERT(known == listed);
        }
    }

    std::size_t restores() const
    {
        return this->epoch - 1;
    }

private:
    bool chance(std::uint64_t per_thousand)
    {
        return this->random() % 1000 < per_thousand;
    }

    std::int64_t delay(std::int64_t up_to_ms)
    {
        return static_cast<std::int64_t>(
            this->random() % static_cast<std::uint64_t>(up_to_ms));
    }

    static std::string key_of(std::size_t index)
    {
        return "t/" + std::to_string(index);
    }

    void keep_backup()
    {
        this->backups.push_back({this->now, this->store});
    }

    void write(const std::string& key, const std::string& value)
    {
        this->keep_backup();
        const auto written =
            item(key, value, this->epoch, ++this->store.number);
        this->store.history.push_back(written);
        if (value.empty())
        {
            this->store.items.erase(key);
            return;
        }
        this->store.items[key] = written;
    }

    void write_entry(std::size_t index)
    {
        auto& target = this->targets[index];
        const auto value = entry(
            target.drains ? "draining" : "ready", target.started_at,
            target.report);
        target.writes_at = INT64_MAX;
        this->write(key_of(index), value);
    }

    void remove_entry(std::size_t index)
    {
        if (this->store.items.contains(key_of(index)))
        {
            this->write(key_of(index), "");
        }
    }

    //! What operator and targets wrote is written again after a restore, and
    //! the entries of targets that have ended expire.
    void heal_store()
    {
        if (this->version_written_at <= this->now)
        {
            this->version_written_at = INT64_MAX;
            this->write("c", std::to_string(this->version));
        }
        for (std::size_t index = 0; index < target_count; ++index)
        {
            if (this->targets[index].writes_at <= this->now)
            {
                this->write_entry(index);
            }
            if (!this->targets[index].runs &&
                this->now >= this->restored_at + expiry_ms)
            {
                this->remove_entry(index);
            }
        }
    }

    void draw_events()
    {
        if (this->chance(event_chance) && this->version_written_at == INT64_MAX)
        {
            this->write("c", std::to_string(++this->version));
        }
        const auto index = this->random() % target_count;
        if (this->chance(4 * event_chance))
        {
            this->change_target(index);
        }
        // One restore is over before the next.
        if (this->chance(event_chance / 2) &&
            this->now >= this->restored_at + 2 * expiry_ms)
        {
            this->restore();
        }
        if (this->chance(event_chance / 2))
        {
            this->nodes[this->random() % node_count] = node{};
        }
    }

    void change_target(std::size_t index)
    {
        auto& target = this->targets[index];
        if (!target.runs)
        {
            target = {target.started_at + 1, 1, true, false, this->now};
            return;
        }
        if (target.drains || this->chance(300))
        {
            target.runs = false;
            target.writes_at = INT64_MAX;
            this->remove_entry(index);
            return;
        }
        target.drains = this->chance(400);
        ++target.report;
        this->write_entry(index);
    }

    void restore()
    {
        const auto age = this->delay(10000);
        auto backup = std::find_if(
            this->backups.begin(), this->backups.end(),
            [&](const auto& kept) { return kept.first >= this->now - age; });
        if (backup != this->backups.end())
        {
            this->store = backup->second;
        }
        this->backups.clear();
        ++this->epoch;
        this->restored_at = this->now;
        for (auto& [key, listed] : this->store.items)
        {
            listed.revision.epoch = this->epoch;
        }
        for (auto& changed : this->store.history)
        {
            changed.revision.epoch = this->epoch;
        }
        this->version_written_at = this->now + this->delay(rewrite_ms);
        for (auto& target : this->targets)
        {
            target.writes_at =
                target.runs ? this->now + this->delay(rewrite_ms) : INT64_MAX;
        }
    }

    void read_store(node& member, bool may_fail)
    {
        if (this->now < member.reads_at)
        {
            return;
        }
        member.reads_at = this->now + this->delay(read_interval_ms);
        const schema::store_revision current{this->epoch, this->store.number};
        const auto known = member.view.revision();
        if (known.epoch != this->epoch || (may_fail && this->chance(100)))
        {
            std::vector<schema::published_item> items;
            for (const auto& [key, listed] : this->store.items)
            {
                items.push_back(listed);
            }
            apply_snapshot(member.view, items, current, {this->now});
            return;
        }
        for (const auto& changed : this->store.history)
        {
            if (changed.revision > known)
            {
                member.view.merge(changed, {this->now});
            }
        }
        member.view.advance(current);
    }

    //! Nodes send each other what the other lacks; some lists arrive late and
    //! some are lost.
    void exchange_lists(bool may_be_late)
    {
        const auto from = this->random() % node_count;
        const auto to = this->random() % node_count;
        const auto after = this->chance(100) ? schema::store_revision{}
                                             : this->nodes[to].view.revision();
        const auto delay = may_be_late && this->chance(300) ? 3000 : 200;
        this->lists.push_back(
            {this->now + this->delay(delay), to,
             this->nodes[from].view.changes_after(after)});
        for (auto& list : this->lists)
        {
            if (list.arrives_at <= this->now && list.to < node_count)
            {
                apply_list(
                    this->nodes[list.to].view, list.content, {this->now});
                list.to = node_count;
            }
        }
        std::erase_if(
            this->lists,
            [](const auto& list) { return list.to == node_count; });
    }

    void check(node& member)
    {
        const auto& configuration = member.view.configuration();
        const auto known_version = configuration ? configuration->version : 0;
        RC_ASSERT(known_version >= member.highest_version);
        member.highest_version = known_version;
        std::set<process_id> in_use;
        for (const auto& target : member.view.targets("s"))
        {
            const process_id used{target.instance, target.started_at_ms};
            in_use.insert(used);
            if (target.phase == target_phase::draining)
            {
                member.left.insert(used);
                continue;
            }
            RC_ASSERT_FALSE(member.left.contains(used));
        }
        member.listed.insert(in_use.begin(), in_use.end());
        for (const auto& id : member.listed)
        {
            if (!in_use.contains(id) && !this->is_running(id))
            {
                member.left.insert(id);
            }
        }
        this->check_live_targets(member, in_use);
    }

    bool is_running(const process_id& id) const
    {
        const auto& target = this->targets[std::stoul(id.first)];
        return target.runs && target.started_at == id.second;
    }

    //! A target that runs, and that the view has listed, stays in use.
    void
    check_live_targets(const node& member, const std::set<process_id>& in_use)
    {
        for (std::size_t index = 0; index < target_count; ++index)
        {
            const auto& target = this->targets[index];
            const process_id id{std::to_string(index), target.started_at};
            const bool serves = target.runs && !target.drains;
            if (serves && member.listed.contains(id))
            {
                RC_ASSERT(in_use.contains(id));
            }
        }
    }

    //! A list on its way to a node.
    struct list_in_flight
    {
        std::int64_t arrives_at{0};
        std::size_t to{0};
        schema::item_list content;
    };

    std::mt19937_64 random;
    std::int64_t now{0};
    std::uint64_t epoch{1};
    std::uint64_t version{1};
    std::int64_t version_written_at{INT64_MAX};
    std::int64_t restored_at{INT64_MIN / 2};
    store_state store;
    std::deque<std::pair<std::int64_t, store_state>> backups;
    std::vector<process> targets{target_count};
    std::vector<node> nodes{node_count};
    std::vector<list_in_flight> lists;
};

//! Seed of a random history. The number of histories is set by RC_PARAMS, for
//! example "seed=1 max_success=10000".
std::uint64_t draw_seed()
{
    return *rc::gen::noShrink(
        rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
}
} // namespace

// Guards against nodes that follow nothing, swing back, or use what has left
// after the store was restored.
TEST_CASE("all views follow a store that is restored from backups")
{
    std::size_t restores = 0;
    const bool holds = rc::check(
        "random histories of restores, late lists and restarts",
        [&]
        {
            history run(draw_seed());
            run.run(60000, true);
            restores += run.restores();
            run.run(20000, false);
            run.check_agreement();
        });
    CHECK(holds);
    CHECK(restores > 0);
}
