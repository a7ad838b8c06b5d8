#pragma once

#include "http/http_client.hpp"
#include "http/http_server.hpp"
#include "schema/settings.hpp"

//! How the memory and the descriptors of the machine are shared out.
namespace bilberrytally::node
{
//! Memory of the machine in bytes; 0 for no limit.
std::uint64_t machine_bytes(const schema::node_settings& settings);

//! Lowers caller.max_held_bytes to what the machine's memory allows.
schema::node_settings fit_memory(schema::node_settings settings);

//! What the callers' connections may use up together.
http::connection_limits client_limits(const schema::node_settings& settings);

//! What the responses of the backend server may use up.
http::client_limits response_limits(const schema::node_settings& settings);
} // namespace bilberrytally::node
