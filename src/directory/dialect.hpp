#pragma once

#include <string>

namespace bilberrytally::directory
{
//! Names of the headers by which callers and targets of a platform speak to
//! the node, in lower case.
struct dialect
{
    //! Id of one attempt of a caller; targets repeat it in their answers.
    std::string request_id;
    //! Time left, ms.
    std::string timeout;
    //! The one instance that may run the request.
    std::string expected_instance;
    //! On an answer: the target did not run the request.
    std::string not_executed;
    //! On an answer: a target made it.
    std::string signature;
    //! Service of the instance beside which the request began.
    std::string caller_service;
    //! Where the id of a call that a target makes begins with the id of the
    //! request that it runs, the character after it; 0 where ids say nothing.
    char id_separator{0};

    bool operator==(const dialect&) const = default;
};
} // namespace bilberrytally::directory
