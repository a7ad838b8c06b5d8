#pragma once

#include <string>

namespace bilberrytally::directory
{
//! Names of the HTTP headers that the callers and targets of a platform
//! exchange with the node, in lower case.
struct header_names
{
    //! Id of one attempt of a caller; targets copy it into their responses.
    std::string attempt_id;
    //! Time left until the deadline of the request, in ms.
    std::string timeout;
    //! Id of the only instance that may run the request.
    std::string expected_instance;
    //! In a response: the target did not run the request.
    std::string not_executed;
    //! In a response: it was produced by a target.
    std::string signature;
    //! In a response: how many calls a second the target takes at present, from
    //! all nodes together.
    std::string rate_limit;
    //! In a response: the target is leaving and takes no new requests, if the
    //! value is 1.
    std::string leaving;
    //! Service of the caller: that of the instance beside the node that
    //! received the request.
    std::string caller_service;
    //! Workspace of the access key that the caller sent; set by the node.
    std::string workspace;
    //! A target forms the id of a nested call from the id of the attempt that
    //! it runs, this character and a suffix, for example r1.c1. 0 if ids do
    //! not link nested calls.
    char id_separator{0};

    bool operator==(const header_names&) const = default;
};
} // namespace bilberrytally::directory
