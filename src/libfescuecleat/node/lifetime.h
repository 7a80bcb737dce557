#pragma once

#include <memory>
#include <utility>

namespace fescuecleat {

/** Keeps the callbacks of its owner from running after the owner's destruction; used as a member. */
class Lifetime {
public:
    Lifetime() = default;
    Lifetime(const Lifetime&) = delete;
    Lifetime& operator=(const Lifetime&) = delete;

    /** Wraps a callback so that it does nothing once the owner is destroyed. */
    template <typename Function>
    auto guard(Function function) const
    {
        return [alive = std::weak_ptr<bool>(alive_), function = std::move(function)](auto&&... arguments) mutable {
            if (alive.lock())
                function(std::forward<decltype(arguments)>(arguments)...);
        };
    }

private:
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}
