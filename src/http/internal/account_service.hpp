#pragma once

#include "http/internal/connection_account.hpp"

#include <asio/execution_context.hpp>

namespace bilberrytally::http
{
//! The account of all servers of an io_context.
class account_service : public asio::execution_context::service
{
public:
    using key_type = account_service;
    inline static asio::execution_context::id id;

    explicit account_service(asio::execution_context& context)
        : asio::execution_context::service(context)
    {
    }

    connection_account account;

private:
    void shutdown() override
    {
    }
};

//! Names the connection whose bytes the current thread handles, so that the
//! callbacks of RESTinio's parser find it. What they count is entered at the
//! end of the scope.
class connection_scope
{
public:
    explicit connection_scope(connection_account::entry_ptr connection)
        : connection(std::move(connection)), outer(current_entry)
    {
        current_entry = this->connection.get();
    }

    ~connection_scope()
    {
        current_entry = this->outer;
        this->connection->settle(base::now());
    }

    connection_scope(const connection_scope&) = delete;
    connection_scope& operator=(const connection_scope&) = delete;

    //! Null outside of a scope.
    static connection_account::entry* current()
    {
        return current_entry;
    }

private:
    inline static thread_local connection_account::entry* current_entry =
        nullptr;

    connection_account::entry_ptr connection;
    connection_account::entry* outer;
};
} // namespace bilberrytally::http
