#include "base/error.hpp"

namespace bilberrytally::base
{
std::string error::text() const
{
    return this->place.empty() ? this->message
                               : this->place + ": " + this->message;
}

boost::leaf::error_id fail(std::string place, std::string message)
{
    return boost::leaf::new_error(error{std::move(place), std::move(message)});
}
} // namespace bilberrytally::base
