#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bilberrytally::decisions
{
//! Number of trees by which each document is spread.
constexpr std::uint64_t spread_trees = 2;

//! Whom a node sends a document to. Every document and tree has its own order
//! of the zone's nodes, so that relaying is spread over all of them.
//! \p members are the instances of the zone, \p self one of them; with
//! \p from_outside the roots are added, since the document is new to the zone.
std::vector<std::string> spread_children(
    const std::vector<std::string>& members, const std::string& self,
    std::uint64_t document_digest, bool from_outside);

//! Position of \p self in the zone's rendezvous order for platform reads.
std::uint32_t
reader_rank(const std::vector<std::string>& members, const std::string& self);
} // namespace bilberrytally::decisions
