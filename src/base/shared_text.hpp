#pragma once

#include <compare>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace bilberrytally::base
{
//! An immutable text that its copies share, for bodies that are too large to be
//! copied.
class shared_text
{
public:
    shared_text() = default;

    //! Implicit, since a text can stand wherever a shared one is expected.
    shared_text(std::string text)
        : content(std::make_shared<const std::string>(std::move(text)))
    {
    }

    shared_text(const char* text) : shared_text(std::string(text))
    {
    }

    //! Shares a text that \p owner keeps alive.
    template <class Owner>
    shared_text(std::shared_ptr<Owner> owner, const std::string& text)
        : content(std::move(owner), &text)
    {
    }

    const std::string& text() const
    {
        static const std::string empty_text;
        return this->content ? *this->content : empty_text;
    }

    operator std::string_view() const
    {
        return this->text();
    }

    const char* data() const
    {
        return this->text().data();
    }

    std::size_t size() const
    {
        return this->text().size();
    }

    bool empty() const
    {
        return this->text().empty();
    }

    bool operator==(const shared_text& other) const
    {
        return this->text() == other.text();
    }

    auto operator<=>(const shared_text& other) const
    {
        return this->text() <=> other.text();
    }

private:
    std::shared_ptr<const std::string> content;
};
} // namespace bilberrytally::base
