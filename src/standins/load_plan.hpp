#pragma once

#include "base/error.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace bilberrytally::standins
{
//! Address of a node's caller port.
struct node_address
{
    std::string host;
    std::uint32_t port{0};
};

//! A class of similar requests.
struct load_class
{
    //! Name of the class, start of its requests' ids.
    std::string name;
    std::string service;
    std::string method{"GET"};
    //! Request target; the request's id is appended to its query.
    std::string path{"/work?"};
    //! Mean requests per second at a demand factor of 1.
    double rate{0};
    //! Time-out of each send, ms.
    std::uint32_t timeout_ms{1000};
    //! Send a client-supplied idempotency key and number the sends.
    bool keyed{false};
    //! Fetch an issued idempotency key from a node before the first send.
    bool issued_key{false};
    //! Largest number of further sends of a request after failures.
    std::uint32_t resends{0};
    //! Smallest response body that counts as complete, bytes.
    std::uint64_t size{0};
};

//! A period with a constant demand.
struct load_phase
{
    double seconds{0};
    //! Demand factor on the rates of all classes.
    double factor{1};
};

//! The load that a stand-in caller generates.
struct load_plan
{
    //! Nodes that receive the requests; each send goes to a random one.
    std::vector<node_address> nodes;
    std::vector<load_class> classes;
    //! Phases, one after the other.
    std::vector<load_phase> phases;
    //! Seed of the random numbers, part of the requests' ids.
    std::uint64_t seed{1};
    //! File to which a line per send is written: request id, number of the send
    //! and outcome (verdict/status); empty for none.
    std::string outcomes_path;

    //! Reads a plan from a JSON file; errors name the file.
    static base::result<load_plan> read(const std::string& file);
};
} // namespace bilberrytally::standins
