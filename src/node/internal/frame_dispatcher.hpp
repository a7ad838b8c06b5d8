#pragma once

#include "node/internal/node_tables.hpp"
#include "schema/messages.hpp"
#include "transport/frame.hpp"
#include "transport/peer_link.hpp"

namespace bilberrytally::node
{
class caller_side;
class directory_follower;
class document_gossip;
class quota_exchange;
class target_side;
struct received_call;

//! Decodes the frames of other nodes and hands them to the part of this node
//! that they are meant for. Frames that no part handles are rejected.
class frame_dispatcher
{
public:
    frame_dispatcher(
        node_tables& tables, target_side& inbound_calls,
        caller_side& outbound_calls);

    //! Sets the parts that are made after this one; frames for them are
    //! rejected until then.
    void set_gossip(document_gossip& gossip);
    void set_directory(directory_follower& directory);
    void set_quota(quota_exchange& quota);

    void on_frame(transport::link_id link, transport::frame frame);
    void on_datagram(const transport::frame& frame);

    //! The node at the other end of a connection has no memory for a message
    //! of this node.
    void on_declined(
        transport::link_id link, transport::frame_kind kind, std::uint64_t call,
        const std::string& body);

    //! Records whether a node that has connected, or says so itself, drains.
    void on_peer_availability(const schema::hello& peer);

private:
    template <class Message, class Function>
    void decode_and_handle(const transport::frame& frame, Function&& function);
    //! Frames about documents and items, which nodes exchange among themselves.
    void
    on_gossip_frame(transport::link_id link, const transport::frame& frame);
    void on_call(received_call received);

    node_tables& tables;
    target_side& inbound_calls;
    caller_side& outbound_calls;
    document_gossip* gossip{nullptr};
    directory_follower* directory{nullptr};
    quota_exchange* quota{nullptr};
};
} // namespace bilberrytally::node
