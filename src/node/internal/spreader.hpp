#pragma once

#include "base/guarded.hpp"
#include "configuration/configuration_client.hpp"
#include "decisions/reader_schedule.hpp"
#include "node/internal/node_tables.hpp"
#include "transport/peer_network.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bilberrytally::node
{
//! Where a document came from.
enum class document_source
{
    platform, //!< Read from the configuration service.
    tree,     //!< Pushed along a spread tree.
};

//! Tickets and instance lists: read by few nodes, spread to all. A push along
//! two trees in each zone, and a digest a second to a random peer, which
//! repairs what the trees missed.
class spreader
{
public:
    spreader(
        node_tables& tables,
        std::unique_ptr<configuration::configuration_client> client,
        std::function<void(const schema::service_policy&)> on_own_policy);

    void attach(transport::peer_network& network);

    void on_document(const std::string& text, document_source source);
    void on_digest(const schema::digest& digest);
    void on_summary(transport::link_id link, const schema::summary& summary);
    void on_bucket_ids(transport::link_id link, const schema::bucket_ids& ids);

    void tick(base::time_ms now);

    //! Reads of the configuration service so far.
    std::uint64_t platform_reads() const;

private:
    //! A node of the fleet as listed.
    struct member
    {
        std::string instance;
        std::string zone;
        transport::peer_address address;

        auto operator<=>(const member&) const = default;
    };
    struct spread_state
    {
        decisions::reader_schedule schedule;
        std::mt19937_64 random;
        std::vector<member> members;
        std::vector<transport::peer_address> seeds;
        std::uint64_t index{0};
        base::time_ms next_digest;
        std::uint32_t digests{0};
    };

    static spread_state
    make_state(const schema::node_settings& settings, std::uint64_t seed);

    void apply(
        const decisions::document& document, document_source source,
        const decisions::merge_outcome& outcome);
    void update_targets(const std::vector<std::string>& services);
    void update_members();
    void push(const decisions::document& document, bool from_outside);
    void read_platform();
    void on_read(const configuration::read_outcome& outcome);
    void send_digest(base::time_ms now);
    transport::peer_address pick_peer(spread_state& state) const;

    node_tables& tables;
    std::unique_ptr<configuration::configuration_client> client;
    std::function<void(const schema::service_policy&)> on_own_policy;
    transport::peer_network* network{nullptr};
    std::atomic<bool> reading{false};
    std::atomic<std::uint64_t> reads{0};
    //! Rank 50 in the lock order.
    base::guarded<spread_state, 50> state;
};
} // namespace bilberrytally::node
