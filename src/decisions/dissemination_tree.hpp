#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bilberrytally::decisions
{
//! Number of dissemination trees for each document.
constexpr std::uint64_t dissemination_trees = 2;

//! Returns the instances to which a node relays a document: its children in all
//! dissemination trees. Each document and tree has its own order of the nodes
//! of the zone, so that the work of relaying is shared by all of them.
//! \p members are the instances of the zone, \p self is one of them.
//! \p new_to_zone says that the document is new to the zone; the roots of the
//! trees are then added.
std::vector<std::string> dissemination_children(
    const std::vector<std::string>& members, const std::string& self,
    std::uint64_t document_digest, bool new_to_zone);

//! Position of \p self in the rendezvous order of the zone that chooses the
//! watchers of the configuration service; 0 is the first.
std::uint32_t
watcher_rank(const std::vector<std::string>& members, const std::string& self);
} // namespace bilberrytally::decisions
