#pragma once

#include <string>

namespace bilberrytally::directory
{
//! Names of the HTTP headers that the callers and targets of a platform
//! exchange with the node, in lower case.
struct dialect
{
    //! Id of one attempt of a caller; targets copy it into their responses.
    std::string request_id;
    //! Time left until the deadline of the request, in ms.
    std::string timeout;
    //! Id of the only instance that may run the request.
    std::string expected_instance;
    //! In a response: the target did not run the request.
    std::string not_executed;
    //! In a response: it was produced by a target.
    std::string signature;
    //! Service of the instance beside whose node the request was received
    //! from its caller.
    std::string caller_service;
    //! Character between the id of a request and the rest of the ids of its
    //! nested calls, which a target begins with the id of the request that it
    //! runs. 0 if the platform's ids do not link nested calls.
    char id_separator{0};

    bool operator==(const dialect&) const = default;
};
} // namespace bilberrytally::directory
