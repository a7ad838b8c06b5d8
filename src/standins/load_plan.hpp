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

//! One kind of requests.
struct load_class
{
    std::string name;
    std::string service;
    std::string method{"GET"};
    //! Target; the request's id is appended to the query.
    std::string path{"/work?"};
    //! Requests per second at factor 1.
    double rate{0};
    std::uint32_t timeout_ms{1000};
    //! Own idempotency key with numbered sends.
    bool keyed{false};
    //! Issued idempotency key, fetched before the first send.
    bool issued_key{false};
    //! Sends again after failures, at the most.
    std::uint32_t resends{0};
    //! Smallest answer body in bytes that counts as whole.
    std::uint64_t size{0};
};

//! A span of time with a demand factor.
struct load_phase
{
    double seconds{0};
    double factor{1};
};

//! What a stand-in caller is to do.
struct load_plan
{
    std::vector<node_address> nodes;
    std::vector<load_class> classes;
    std::vector<load_phase> phases;
    std::uint64_t seed{1};
    //! File that gets one line per send: id, send, verdict, status.
    std::string outcomes;

    //! Reads a JSON file.
    static base::result<load_plan> read(const std::string& file);
};
} // namespace bilberrytally::standins
