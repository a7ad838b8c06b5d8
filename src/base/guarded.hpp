#pragma once

#include <cassert>
#include <mutex>
#include <utility>

namespace bilberrytally::base
{
//! Highest lock rank that this thread holds; 0 if it holds no lock.
inline thread_local int held_lock_rank = 0;

//! A value with the mutex that protects it. To rule out deadlocks, a thread
//! that holds a lock may only take locks of a higher \p Rank; this is asserted.
template <class Value, int Rank>
class guarded
{
public:
    template <class... Arguments>
    explicit guarded(Arguments&&... arguments)
        : value(std::forward<Arguments>(arguments)...)
    {
    }

    //! Calls \p function with the value while holding the lock, and returns its
    //! result.
    template <class Function>
    decltype(auto) with(Function&& function)
    {
        assert(held_lock_rank < Rank);
        const std::scoped_lock lock(this->mutex);
        const rank_scope scope(Rank);
        return std::forward<Function>(function)(this->value);
    }

private:
    //! Sets held_lock_rank for its scope and restores the previous rank.
    struct rank_scope
    {
        explicit rank_scope(int rank) : outer(held_lock_rank)
        {
            held_lock_rank = rank;
        }
        ~rank_scope()
        {
            held_lock_rank = this->outer;
        }
        rank_scope(const rank_scope&) = delete;
        rank_scope& operator=(const rank_scope&) = delete;
        int outer;
    };

    std::mutex mutex;
    Value value;
};
} // namespace bilberrytally::base
