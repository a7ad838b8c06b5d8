#pragma once

namespace bilberrytally::base
{
//! Visitor for std::visit, made of one function for each alternative.
template <class... Functions>
struct variant_visitor : Functions...
{
    using Functions::operator()...;
};
template <class... Functions>
variant_visitor(Functions...) -> variant_visitor<Functions...>;
} // namespace bilberrytally::base
